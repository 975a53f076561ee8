/**
 * How long messages of a peer were held up on their way.
 *
 * Load pattern: a daemon that has just restarted, or whose link loses packets, handles an offer a second
 * after it was sent. Its caller has left by then, and the work on it takes a place from calls that
 * still wait. Clocks of two hosts are not compared: the message of the last seconds that
 * took the shortest time counts as not held up, and others by how much longer they took.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** A difference between two clocks that run evenly is forgotten after one to two of these. */
const WINDOW_MS: Milliseconds = 5_000;

export interface TransitDelay {
  /** Takes note of a message; returns for how long it was held up. */
  record(sentAt: Milliseconds, now: Milliseconds): Milliseconds;
}

export function createTransitDelay(): TransitDelay {
  let windowStart = -Infinity;
  let shortest = Infinity;
  let shortestBefore = Infinity;
  return {
    record(sentAt, now) {
      if (now - windowStart >= WINDOW_MS) {
        shortestBefore = now - windowStart >= 2 * WINDOW_MS
          ? Infinity
          : shortest;
        shortest = Infinity;
        windowStart = now;
      }
      const difference = now - sentAt;
      shortest = Math.min(shortest, difference);
      return difference - Math.min(shortest, shortestBefore);
    },
  };
}
