/**
 * Learns how many calls an instance takes at a time if it takes fewer than it has announced.
 *
 * Load pattern: an instance resets the connection of a call that it has no room for. A call that has ended at the gate
 * may still occupy the instance for a moment, or it counts other work, so keeping to the announced slots is not
 * enough. A reset right after the sending of a call that filled the last slot lowers the limit by one. After some
 * seconds the limit rises by one again to probe; a reset soon after that doubles the time until the next probe.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** An instance without room resets on arrival of the request; a reset during the work comes later. */
const IMMEDIATE_MS: Milliseconds = 50;
/** Resets at the same time have one cause, such as the end of the instance. */
const SAME_CAUSE_MS: Milliseconds = 100;
const FIRST_PROBE_AFTER_MS: Milliseconds = 3_000;
const LAST_PROBE_AFTER_MS: Milliseconds = 24_000;

/** An exchange that ended without a response. */
export interface BrokenExchange {
  /** The time since the request was sent. */
  readonly elapsed: Milliseconds;
  /** The calls at the instance when this one was sent, including it. */
  readonly runningAtStart: number;
  /** The calls that the instance has announced to take at a time. */
  readonly announced: number;
}

export interface LearnedLimit {
  /** Returns the calls to send at a time to an instance that has announced this many. */
  apply(announced: number, now: Milliseconds): number;
  /** Records an exchange that the instance has reset; returns whether that has lowered the limit. */
  recordReset(exchange: BrokenExchange, now: Milliseconds): boolean;
}

export function createLearnedLimit(): LearnedLimit {
  let reduction = 0;
  let probesAt: Milliseconds = 0;
  let probeAfter: Milliseconds = FIRST_PROBE_AFTER_MS;
  let loweredAt = -Infinity;

  function update(now: Milliseconds): void {
    while (reduction > 0 && now >= probesAt) {
      reduction -= 1;
      probesAt += probeAfter;
    }
  }

  function apply(announced: number, now: Milliseconds): number {
    update(now);
    return announced <= 1 ? announced : Math.max(1, announced - reduction);
  }

  return {
    apply,
    recordReset({ elapsed, runningAtStart, announced }, now) {
      const limit = apply(announced, now);
      if (
        elapsed > IMMEDIATE_MS || runningAtStart < limit || limit <= 1 ||
        now - loweredAt < SAME_CAUSE_MS
      ) {
        return false;
      }
      // The limit was lowered before, and since then probed no longer ago than the time between two probes.
      const isSoonAfterProbe = now - loweredAt < 2 * probeAfter;
      probeAfter = isSoonAfterProbe
        ? Math.min(LAST_PROBE_AFTER_MS, 2 * probeAfter)
        : FIRST_PROBE_AFTER_MS;
      loweredAt = now;
      reduction = announced - limit + 1;
      probesAt = now + probeAfter;
      return true;
    },
  };
}
