/**
 * An exponentially decaying count of events.
 *
 * @module
 */

import type { Milliseconds } from "./milliseconds.ts";

export interface DecayedCount {
  add(now: Milliseconds): void;
  /** Returns the decayed count. With a decay of 1 s it approximates the events per second of a steady stream. */
  current(now: Milliseconds): number;
}

/** Creates a count in which the weight of an event falls to 1/e, about a third, within `decay`. */
export function createDecayedCount(decay: Milliseconds): DecayedCount {
  let count = 0;
  let updatedAt: Milliseconds = 0;

  function current(now: Milliseconds): number {
    count *= Math.exp((updatedAt - now) / decay);
    updatedAt = now;
    return count;
  }

  return {
    add(now) {
      count = current(now) + 1;
    },
    current,
  };
}
