/**
 * Decides when a change of a host's momentary speed is logged.
 *
 * Load pattern: hosts change their speed every few seconds. A line for each change of each host would
 * fill the log with what is usual; further changes within the interval are only counted.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** From this ratio on, a host counts as slow: a usual call takes half as long again. */
const SLOW_RATIO = 1.5;
/** Hysteresis: a slow host counts as normal again below this ratio. */
const NORMAL_RATIO = 1.2;
const MINIMUM_INTERVAL_MS: Milliseconds = 10_000;

export interface SpeedChange {
  readonly speed: "slow" | "normal";
  /** The number of changes since the last one that was logged, including this one. */
  readonly changes: number;
}

export interface SpeedChangeLog {
  /** Returns a change that is to be logged. */
  record(ratio: number, now: Milliseconds): SpeedChange | undefined;
}

export function createSpeedChangeLog(): SpeedChangeLog {
  let speed: SpeedChange["speed"] = "normal";
  let changes = 0;
  let loggedAt = -Infinity;
  return {
    record(ratio, now) {
      const next = ratio >= SLOW_RATIO
        ? "slow"
        : ratio <= NORMAL_RATIO
        ? "normal"
        : speed;
      if (next === speed) {
        return undefined;
      }
      speed = next;
      changes += 1;
      if (now - loggedAt < MINIMUM_INTERVAL_MS) {
        return undefined;
      }
      const change = { speed, changes };
      changes = 0;
      loggedAt = now;
      return change;
    },
  };
}
