/**
 * Calls that wait for the first lease of their customer.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName } from "../../../world/common/names.ts";

/** Much longer than a coordinator takes to respond, but short compared to a call's deadline. */
export const LEASE_WAIT_MS: Milliseconds = 100;

/** Limit for each customer, since a waiting call takes memory; further calls do not wait. */
const MAXIMUM_WAITING_CALLS = 16;

export interface WaitingCalls {
  /**
   * Waits for the next lease of the customer, at most until the given time. Resolves immediately
   * with false when too many calls are already waiting, otherwise with true.
   */
  wait(customer: CustomerName, until: Milliseconds): Promise<boolean>;
  /** Wakes the waiting calls of a customer whose lease has arrived. */
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
