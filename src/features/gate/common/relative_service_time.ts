/**
 * Estimates how much slower or faster than usual an instance serves calls.
 *
 * Load pattern: an instance becomes ten times slower, so that callers cancel each of its calls in favor of
 * another instance, or the calls exceed their deadlines. If only answered calls counted, it would keep the
 * estimate of an instance of usual speed and get its full part of the calls. So the time that an unanswered
 * call has run counts as a lower bound. An instance that gets no calls because it was slow is tried again
 * after a while.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** The weight of an answered call in the average. */
const SMOOTHING_FACTOR = 0.05;
const MAXIMUM_RATIO = 20;
/** A slow estimate is kept for this long without calls, and then falls to about a third in this time. */
const RETENTION_MS: Milliseconds = 3_000;

export interface RelativeServiceTime {
  /** The average service time, as a multiple of the usual one. */
  current(now: Milliseconds): number;
  /** Records an answered call; `usual` is the mean service time of its route over all instances. */
  recordAnswered(
    duration: Milliseconds,
    usual: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Records a call that was cancelled or exceeded its deadline after it had run for some time. */
  recordUnanswered(
    elapsed: Milliseconds,
    usual: Milliseconds,
    now: Milliseconds,
  ): void;
}

export function createRelativeServiceTime(): RelativeServiceTime {
  let average = 1;
  let lastRecordAt = -Infinity;

  function current(now: Milliseconds): number {
    const unused = now - lastRecordAt - RETENTION_MS;
    return average <= 1 || unused <= 0
      ? average
      : 1 + (average - 1) * Math.exp(-unused / RETENTION_MS);
  }

  function record(ratio: number, weight: number, now: Milliseconds): void {
    average = current(now);
    average += weight * (ratio - average);
    lastRecordAt = now;
  }

  function ratioOf(duration: Milliseconds, usual: Milliseconds): number {
    return Math.min(MAXIMUM_RATIO, duration / Math.max(1, usual));
  }

  return {
    current,
    recordAnswered: (duration, usual, now) =>
      record(ratioOf(duration, usual), SMOOTHING_FACTOR, now),
    recordUnanswered(elapsed, usual, now) {
      const ratio = ratioOf(elapsed, usual);
      if (ratio > current(now)) {
        // An instance of usual speed would have answered this many calls in the same time.
        record(ratio, 1 - (1 - SMOOTHING_FACTOR) ** ratio, now);
      }
    },
  };
}
