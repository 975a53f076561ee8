/**
 * Limits retries to a share of the first attempts of the last seconds. A retry is counted in the
 * second in which it starts, so it never stays in the window longer than the first attempts that
 * permitted it. The share therefore holds over any period.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";

/** The length of the window; older first attempts permit no retries. */
export const BUDGET_WINDOW_SECONDS = 10;

interface SecondCounts {
  second: number;
  firstAttempts: number;
  retries: number;
}

export interface RetryBudget {
  recordFirstAttempt(now: Milliseconds): void;
  /** Takes one retry from the budget; false if no more than `reserved` are left. */
  takeRetry(now: Milliseconds, retryShare: number, reserved?: number): boolean;
  /** Returns a retry that was taken at `takenAt` and not made. */
  returnRetry(takenAt: Milliseconds): void;
}

export function createRetryBudget(): RetryBudget {
  const ring: SecondCounts[] = Array.from(
    { length: BUDGET_WINDOW_SECONDS },
    () => ({ second: -1, firstAttempts: 0, retries: 0 }),
  );

  function currentCounts(now: Milliseconds): SecondCounts {
    const second = Math.floor(now / SECOND_MS);
    const count = ring[second % BUDGET_WINDOW_SECONDS];
    if (count.second !== second) {
      Object.assign(count, { second, firstAttempts: 0, retries: 0 });
    }
    return count;
  }

  return {
    recordFirstAttempt(now) {
      currentCounts(now).firstAttempts += 1;
    },
    takeRetry(now, retryShare, reserved = 0) {
      const current = currentCounts(now);
      const oldest = current.second - BUDGET_WINDOW_SECONDS;
      let firstAttempts = 0;
      let retries = 0;
      for (const count of ring) {
        if (count.second > oldest) {
          firstAttempts += count.firstAttempts;
          retries += count.retries;
        }
      }
      if (retries + 1 + reserved > retryShare * firstAttempts) {
        return false;
      }
      current.retries += 1;
      return true;
    },
    returnRetry(takenAt) {
      const second = Math.floor(takenAt / SECOND_MS);
      const count = ring[second % BUDGET_WINDOW_SECONDS];
      if (count.second === second) {
        count.retries -= 1;
      }
    },
  };
}
