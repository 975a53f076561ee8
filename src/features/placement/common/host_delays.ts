/**
 * Measures how much longer calls to a host take than queueing and service time explain.
 *
 * Load pattern: a host is slow, short of processor time after a restart, or behind a congested link.
 * Its instance works as fast as before, so the service time and load that its gate reports look good,
 * while each offer and each response is delayed by 100 ms or more. The caller's daemon measures this
 * delay with every outcome and prefers other hosts.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";

/** Weight of the newest delay in the exponential moving average; a few calls reveal a slow host. */
const SMOOTHING_FACTOR = 0.3;
/** Without calls the average falls to about a third (1/e) in this time, so that the host is tried again. */
const DECAY_TIME_CONSTANT_MS: Milliseconds = 3_000;
/** Smaller averages count as 0: hosts with enough processor time differ by this much. */
const MINIMUM_DELAY_MS: Milliseconds = 10;

export interface HostDelays {
  /** `delay` is the time from offer to outcome minus the service time and the expected wait. */
  record(host: HostName, delay: Milliseconds, now: Milliseconds): void;
  /** The decayed average; 0 while it is too small to matter. */
  current(host: HostName, now: Milliseconds): Milliseconds;
}

export function createHostDelays(): HostDelays {
  const delays = new Map<HostName, { mean: number; updatedAt: Milliseconds }>();

  function computeDecayedMean(host: HostName, now: Milliseconds): number {
    const delay = delays.get(host);
    return delay === undefined
      ? 0
      : delay.mean * Math.exp((delay.updatedAt - now) / DECAY_TIME_CONSTANT_MS);
  }

  return {
    record(host, delay, now) {
      const mean = computeDecayedMean(host, now);
      delays.set(host, {
        mean: mean + SMOOTHING_FACTOR * (Math.max(0, delay) - mean),
        updatedAt: now,
      });
    },
    current(host, now) {
      const delay = computeDecayedMean(host, now);
      return delay < MINIMUM_DELAY_MS ? 0 : delay;
    },
  };
}
