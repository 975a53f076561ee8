/**
 * Retry budget of a service whose callers have accounts: plans the retries of the whole window.
 *
 * Load pattern: for some seconds all instances of a service refuse over half of the calls. The budget counts the
 * first attempts and the retries of ten seconds, so what is spent in the first seconds is missing for the rest.
 * Numerous nested calls would spend most of it before it is known how many retries the urgent calls need. The need
 * is therefore derived from the rate of the urgent calls and the share of all attempts that fail, and is kept
 * for them until the end of the window.
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
import {
  BUDGET_WINDOW_SECONDS,
  createRetryBudget,
} from "../../attempt/common/retry_budget.ts";

/** Retries of a service as a share of its first attempts; below the share that is allowed. */
const RETRY_SHARE = 0.15;
/**
 * A daemon makes some ten urgent retries in a window, and their number varies by its square root. One window in
 * forty needs more than this many deviations. Without them, retries that are given to others whenever the estimate
 * is low by chance are missing later.
 */
const TOLERATED_DEVIATIONS = 2;
/** Ranks are set by the configuration; those of earlier configurations are dropped. */
const MAXIMUM_CLASSES = 64;

/** Calls whose retries have the same urgency. */
export interface RetryClass {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** The failure of a nested call wastes the work of its parent. */
  readonly isNested: boolean;
}

interface ClassCounts {
  readonly retryClass: RetryClass;
  /** First attempts in about the length of the window, since a daemon gets few urgent calls in a second. */
  readonly firstAttempts: DecayedCount;
  /** Retries by the second in which they started. */
  readonly retries: Map<number, number>;
}

export interface SharedRetryBudget {
  recordFirstAttempt(retryClass: RetryClass, now: Milliseconds): void;
  /** Takes a retry; false if none is left beside those that more urgent calls need. */
  takeRetry(retryClass: RetryClass, now: Milliseconds): boolean;
  /** Returns a retry that reached no instance. */
  returnRetry(retryClass: RetryClass, takenAt: Milliseconds): void;
}

export interface WindowRetryBudget extends SharedRetryBudget {
  /** The number of counts of retries that are kept, one for each class and second. */
  readonly size: number;
}

export function createSharedRetryBudget(): WindowRetryBudget {
  const budget = createRetryBudget();
  const classes = new Map<string, ClassCounts>();
  const attempts = createDecayedCount(SECOND_MS);
  const failures = createDecayedCount(SECOND_MS);

  function countsOf(retryClass: RetryClass): ClassCounts {
    const key = `${retryClass.rank}|${retryClass.isNested}`;
    let counts = classes.get(key);
    if (counts === undefined) {
      if (classes.size >= MAXIMUM_CLASSES) {
        classes.delete(classes.keys().next().value!);
      }
      counts = {
        retryClass,
        firstAttempts: createDecayedCount(
          BUDGET_WINDOW_SECONDS * SECOND_MS,
        ),
        retries: new Map(),
      };
      classes.set(key, counts);
    }
    return counts;
  }

  /** Counts the retries that more urgent calls will need within the window, less those that they have made. */
  function countReserved(retryClass: RetryClass, now: Milliseconds): number {
    const failureShare = Math.min(
      1,
      failures.current(now) / Math.max(1, attempts.current(now)),
    );
    // A call may be retried again after its first retry has failed.
    const retriesPerCall = failureShare + failureShare ** 2;
    let reserved = 0;
    for (const counts of classes.values()) {
      if (compareRetryClasses(counts.retryClass, retryClass) < 0) {
        const mean = counts.firstAttempts.current(now) * retriesPerCall;
        const needed = mean + TOLERATED_DEVIATIONS * Math.sqrt(mean);
        reserved += Math.max(0, needed - countRetries(counts, now));
      }
    }
    return reserved;
  }

  return {
    get size() {
      let size = 0;
      for (const { retries } of classes.values()) {
        size += retries.size;
      }
      return size;
    },
    recordFirstAttempt(retryClass, now) {
      budget.recordFirstAttempt(now);
      attempts.add(now);
      countsOf(retryClass).firstAttempts.add(now);
    },
    takeRetry(retryClass, now) {
      failures.add(now);
      const reserved = countReserved(retryClass, now);
      if (!budget.takeRetry(now, RETRY_SHARE, reserved)) {
        return false;
      }
      attempts.add(now);
      const counts = countsOf(retryClass);
      const { retries } = counts;
      const second = Math.floor(now / SECOND_MS);
      retries.set(second, (retries.get(second) ?? 0) + 1);
      // No other class reads the counts of the least urgent one.
      countRetries(counts, now);
      return true;
    },
    returnRetry(retryClass, takenAt) {
      budget.returnRetry(takenAt);
      const { retries } = countsOf(retryClass);
      const second = Math.floor(takenAt / SECOND_MS);
      const count = retries.get(second);
      if (count !== undefined) {
        retries.set(second, count - 1);
      }
    },
  };
}

/** Returns a negative number if retries of the first class are more urgent. */
function compareRetryClasses(left: RetryClass, right: RetryClass): number {
  return left.rank - right.rank ||
    Number(right.isNested) - Number(left.isNested);
}

/** Counts the retries within the window and forgets older ones. */
function countRetries({ retries }: ClassCounts, now: Milliseconds): number {
  const oldest = Math.floor(now / SECOND_MS) - BUDGET_WINDOW_SECONDS;
  let sum = 0;
  for (const [second, count] of retries) {
    if (second > oldest) {
      sum += count;
    } else {
      retries.delete(second);
    }
  }
  return sum;
}
