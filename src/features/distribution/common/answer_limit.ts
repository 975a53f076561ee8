/**
 * A limit on the number of answers in a window of time.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface AnswerLimit {
  /** Whether one more answer may be given now; counts it if so. */
  take(now: Milliseconds): boolean;
}

export function createAnswerLimit(options: {
  readonly answers: number;
  readonly windowMilliseconds: Milliseconds;
}): AnswerLimit {
  let given: Milliseconds[] = [];
  return {
    take(now) {
      given = given.filter((at) => now - at < options.windowMilliseconds);
      if (given.length >= options.answers) {
        return false;
      }
      given.push(now);
      return true;
    },
  };
}
