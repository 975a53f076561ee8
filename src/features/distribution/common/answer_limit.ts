/**
 * Limits the number of answers in a sliding time window.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface AnswerLimit {
  /** Returns whether another answer is allowed now, and counts it if so. */
  tryAcquire(now: Milliseconds): boolean;
}

export function createAnswerLimit(options: {
  readonly maximumAnswers: number;
  readonly windowMilliseconds: Milliseconds;
}): AnswerLimit {
  let answeredAt: Milliseconds[] = [];
  return {
    tryAcquire(now) {
      answeredAt = answeredAt.filter((at) =>
        now - at < options.windowMilliseconds
      );
      if (answeredAt.length >= options.maximumAnswers) {
        return false;
      }
      answeredAt.push(now);
      return true;
    },
  };
}
