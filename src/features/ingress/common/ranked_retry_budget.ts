/**
 * Retry budget of a service that reserves retries for more urgent calls.
 *
 * Load pattern: all instances of a service refuse or fail half of their calls. All callers together may
 * retry only a limited share of the calls. The numerous less urgent calls would use up that share and
 * leave nothing for the more urgent ones, which are worth more; so a part is reserved for these.
 *
 * @module
 */

import {
  createDecayedCount,
  type DecayedCount,
} from "../../../base/common/decayed_count.ts";
import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import { createRetryBudget } from "../../attempt/common/retry_budget.ts";

/** Retries of a service as a share of its first attempts; below the share that is allowed. */
const RETRY_SHARE = 0.15;
/** The retries that more urgent calls are expected to need within this time are reserved for them. */
const RESERVATION_MS: Milliseconds = 2 * SECOND_MS;

export interface RankedRetryBudget {
  recordFirstAttempt(now: Milliseconds): void;
  /** Takes a retry for a call of a priority rank, 0 being the most urgent; false if none is available. */
  takeRetry(rank: number, now: Milliseconds): boolean;
  /** Returns a retry that reached no instance. */
  returnRetry(takenAt: Milliseconds): void;
}

export function createRankedRetryBudget(): RankedRetryBudget {
  const budget = createRetryBudget();
  /** Retries requested in about the last second, by rank. */
  const requestedRetries = new Map<number, DecayedCount>();

  function countReserved(rank: number, now: Milliseconds): number {
    let reserved = 0;
    for (const [other, count] of requestedRetries) {
      if (other < rank) {
        reserved += count.current(now) * RESERVATION_MS / SECOND_MS;
      }
    }
    return reserved;
  }

  return {
    recordFirstAttempt: (now) => budget.recordFirstAttempt(now),
    takeRetry(rank, now) {
      const count = requestedRetries.get(rank) ?? createDecayedCount(SECOND_MS);
      requestedRetries.set(rank, count);
      count.add(now);
      return budget.takeRetry(now, RETRY_SHARE, countReserved(rank, now));
    },
    returnRetry: (takenAt) => budget.returnRetry(takenAt),
  };
}
