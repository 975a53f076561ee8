/**
 * Which calls of a service may be sent to another instance.
 *
 * Load pattern: all instances of a service refuse or fail half of their calls. All callers together may
 * repeat a part of the calls only. The plentiful, less urgent calls would spend that part, and the
 * more urgent ones, which are worth more, would get none of it; a part is kept back for them.
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

/** Repeats of a service as a part of its first sends; below the share that is allowed. */
const REPEAT_SHARE = 0.15;
/** What more urgent calls are expected to need within this time is kept back for them. */
const RESERVED_MS: Milliseconds = 2 * SECOND_MS;

export interface RepeatBudget {
  recordFirst(now: Milliseconds): void;
  /** Takes a repeat for a call of a rank, of which 0 is the most urgent. */
  take(rank: number, now: Milliseconds): boolean;
  /** Returns a repeat that reached no instance. */
  giveBack(takenAt: Milliseconds): void;
}

export function createRepeatBudget(): RepeatBudget {
  const budget = createRetryBudget();
  /** Repeats that were asked for in about the last second, for each rank. */
  const wanted = new Map<number, DecayedCount>();

  function reservedFrom(rank: number, now: Milliseconds): number {
    let reserved = 0;
    for (const [other, count] of wanted) {
      if (other < rank) {
        reserved += count.current(now) * RESERVED_MS / SECOND_MS;
      }
    }
    return reserved;
  }

  return {
    recordFirst: (now) => budget.recordFirstAttempt(now),
    take(rank, now) {
      const count = wanted.get(rank) ?? createDecayedCount(SECOND_MS);
      wanted.set(rank, count);
      count.add(now);
      return budget.takeRetry(now, REPEAT_SHARE, reservedFrom(rank, now));
    },
    giveBack: (takenAt) => budget.returnRetry(takenAt),
  };
}
