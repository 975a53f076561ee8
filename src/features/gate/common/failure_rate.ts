/**
 * The fraction of recent calls that an instance failed or refused.
 *
 * Load pattern: an instance that returns errors immediately while its health check passes. Its calls finish
 * sooner than those of all other instances, so load balancing by load and speed alone would send it most
 * of the traffic.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** The weight of one call; the rate reflects about the last ten calls. */
const SMOOTHING_FACTOR = 0.1;
/** Without calls the rate decays to about a third in this time, so that the instance is tried again. */
const DECAY_MS: Milliseconds = 5_000;
/** Lower rates are reported as 0, because a single failure among many calls doesn't indicate a fault. */
const MINIMUM_RATE = 0.12;

export interface FailureRate {
  record(isFailure: boolean, now: Milliseconds): void;
  /** The failure rate, 0 to 1. */
  current(now: Milliseconds): number;
}

export function createFailureRate(): FailureRate {
  let rate = 0;
  let updatedAt: Milliseconds = 0;

  function decay(now: Milliseconds): void {
    rate *= Math.exp((updatedAt - now) / DECAY_MS);
    updatedAt = now;
  }

  return {
    record(isFailure, now) {
      decay(now);
      rate += SMOOTHING_FACTOR * ((isFailure ? 1 : 0) - rate);
    },
    current(now) {
      decay(now);
      return rate < MINIMUM_RATE ? 0 : rate;
    },
  };
}
