/**
 * Notices that the service times of an instance have risen to about twice their usual value.
 *
 * Load pattern: a warm instance becomes cold between two of its reports. It gets as many requests as its slots
 * allow, which is above what a cold one takes if its calls are short. Its service times tell within a number of calls
 * that does not depend on its speed. Service times vary widely, so the geometric mean of several calls is
 * compared with that of the calls before; an instance that stays slow counts once.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

const CALLS = 16;
const JUMP_FACTOR = 1.5;
/**
 * A jump exceeds this many standard errors of the mean of the latest calls. With the factor alone, chance shows a
 * jump in every few hundred calls of an instance whose service times vary widely, and each costs it capacity.
 */
const JUMP_STANDARD_ERRORS = 3.2;
/** A jump counts again once service times have come back to below this multiple of the usual ones. */
const RESET_FACTOR = 1.25;
/** So slow that a jump is noticed long before it becomes the usual value. */
const BASELINE_SMOOTHING_FACTOR = 0.01;
/** The usual value is the mean of this many calls before it is smoothed. */
const MINIMUM_BASELINE_CALLS = 30;

export interface ServiceTimeJump {
  /** Records an answered call; returns whether it shows that service times have just risen. */
  record(duration: Milliseconds, meanOfRoute: Milliseconds): boolean;
}

export function createServiceTimeJump(): ServiceTimeJump {
  /** The logarithms of the relative service times of the latest calls. */
  let recent: number[] = [];
  let baseline = 0;
  let baselineCalls = 0;
  /** Estimated from the differences of successive calls, which a jump hardly changes. */
  let variance = 0;
  let isArmed = true;

  return {
    record(duration, meanOfRoute) {
      const value = Math.log(Math.max(1, duration) / Math.max(1, meanOfRoute));
      const previous = recent.at(-1) ?? value;
      recent = [...recent, value].slice(-CALLS);
      const rise = recent.reduce((sum, each) => sum + each, 0) / recent.length -
        baseline;
      baselineCalls += 1;
      const smoothing = Math.max(BASELINE_SMOOTHING_FACTOR, 1 / baselineCalls);
      baseline += smoothing * (value - baseline);
      variance += smoothing * ((value - previous) ** 2 / 2 - variance);
      if (baselineCalls <= MINIMUM_BASELINE_CALLS) {
        return false;
      }
      if (rise < Math.log(RESET_FACTOR)) {
        isArmed = true;
      }
      const needed = Math.max(
        Math.log(JUMP_FACTOR),
        JUMP_STANDARD_ERRORS * Math.sqrt(variance / CALLS),
      );
      if (!isArmed || rise < needed) {
        return false;
      }
      isArmed = false;
      return true;
    },
  };
}
