/**
 * Remembers which gates have just refused a call for lack of capacity.
 *
 * Load pattern: sustained overload of a service. Each call that cannot be served is offered to
 * several gates that are all full, so refusing costs the daemons more work than serving, while they
 * are most loaded. For a short time a gate that refused a call gets no offers of calls that are
 * equally or less urgent, as long as there are other gates. If all are known to be full, one of them
 * is tried.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";

/** In this time, about as much capacity becomes free as one daemon uses. */
const FULL_RETENTION_MS: Milliseconds = 100;

export interface FullGates {
  /** Records that a gate had no capacity for a call of this priority rank. */
  recordFull(host: HostName, rank: number, now: Milliseconds): void;
  /** Whether the gate has recently refused a call that was equally or more urgent. */
  isFull(host: HostName, rank: number, now: Milliseconds): boolean;
}

export function createFullGates(): FullGates {
  /** For each host and rank, the time until which the gate counts as full. */
  const fullUntil = new Map<HostName, Map<number, Milliseconds>>();
  return {
    recordFull(host, rank, now) {
      const ofHost = fullUntil.get(host) ?? new Map<number, Milliseconds>();
      fullUntil.set(host, ofHost);
      ofHost.set(rank, now + FULL_RETENTION_MS);
    },
    isFull(host, rank, now) {
      for (const [other, until] of fullUntil.get(host) ?? []) {
        if (other <= rank && now < until) {
          return true;
        }
      }
      return false;
    },
  };
}
