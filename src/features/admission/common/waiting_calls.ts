/**
 * Calls that wait for the first lease of a new demand.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName } from "../../../world/common/names.ts";

/** Far more than the answer of a holder takes, and short against the deadline of a call. */
export const LEASE_WAIT_MS: Milliseconds = 100;

/** Further calls of a customer are refused at once, as a waiting call takes memory. */
const MAXIMUM_WAITING_CALLS = 16;

export interface WaitingCalls {
  /**
   * Waits for the next lease of the customer, at most until the instant. Resolves at once with
   * false when too many calls wait already.
   */
  wait(customer: CustomerName, until: Milliseconds): Promise<boolean>;
  /** A lease of the customer has arrived. */
  wake(customer: CustomerName): void;
}

export function createWaitingCalls(clock: Clock): WaitingCalls {
  const waiting = new Map<CustomerName, Set<() => void>>();
  return {
    wait(customer, until) {
      const calls = waiting.get(customer) ?? new Set();
      if (calls.size >= MAXIMUM_WAITING_CALLS) {
        return Promise.resolve(false);
      }
      waiting.set(customer, calls);
      return new Promise((resolve) => {
        const finish = () => {
          timer.dispose();
          calls.delete(finish);
          if (calls.size === 0 && waiting.get(customer) === calls) {
            waiting.delete(customer);
          }
          resolve(true);
        };
        const timer = clock.schedule(until - clock.now(), finish);
        calls.add(finish);
      });
    },
    wake(customer) {
      [...waiting.get(customer) ?? []].forEach((finish) => finish());
    },
  };
}
