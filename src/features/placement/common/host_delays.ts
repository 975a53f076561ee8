/**
 * How much longer calls to a host take than its load explains.
 *
 * Load pattern: a host that has become slow, is short of processor time after a restart, or sits behind a
 * link that queues. Its instance works as fast as before, so the relativeServiceTime and the load that its gate tells look
 * good, while each offer and each answer takes a tenth of a second and more. The caller's daemon measures
 * that itself, with every outcome, and chooses other hosts.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";

/** The weight of a new delay; a few calls show a slow host. */
const NEWEST_WEIGHT = 0.3;
/** Without calls the delay falls to a third in this time, so that the host is tried again. */
const FORGET_MS: Milliseconds = 3_000;
/** Outcomes vary by as much between hosts that have enough processor time. */
const LEAST_DELAY_MS: Milliseconds = 10;

export interface HostDelays {
  /** `delay` is the time to an outcome less the work and the wait that was expected. */
  record(host: HostName, delay: Milliseconds, now: Milliseconds): void;
  current(host: HostName, now: Milliseconds): Milliseconds;
}

export function createHostDelays(): HostDelays {
  const delays = new Map<HostName, { mean: number; at: Milliseconds }>();

  function decayed(host: HostName, now: Milliseconds): number {
    const delay = delays.get(host);
    return delay === undefined
      ? 0
      : delay.mean * Math.exp((delay.at - now) / FORGET_MS);
  }

  return {
    record(host, delay, now) {
      const mean = decayed(host, now);
      delays.set(host, {
        mean: mean + NEWEST_WEIGHT * (Math.max(0, delay) - mean),
        at: now,
      });
    },
    current(host, now) {
      const delay = decayed(host, now);
      return delay < LEAST_DELAY_MS ? 0 : delay;
    },
  };
}
