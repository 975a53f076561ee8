/**
 * How long messages of a peer were held up on their way.
 *
 * Load pattern: a daemon that has just restarted, or whose link loses packets, handles an offer a second
 * after it was sent. Its caller has left by then, and the work on it takes a place from calls that
 * still wait. Clocks of two hosts are not compared: the message of the last seconds that
 * took the shortest time counts as not held up, and others by how much longer they took. Right after
 * a link has opened there is nothing to compare with; a receiver that was busy then takes the time for
 * which it was.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** A difference between two clocks that run evenly is forgotten after one to two of these. */
const WINDOW_MS: Milliseconds = 5_000;

/** Until then the messages of a peer say too little. */
const UNKNOWN_FOR_MS: Milliseconds = 3_000;

export interface ReceivedMessage {
  /** By the steady clock of the sender. */
  readonly sentAt: Milliseconds;
  readonly now: Milliseconds;
  /** For how long the message may have waited in the receiving process. */
  readonly loopDelay: Milliseconds;
}

export interface TransitDelay {
  /** Takes note of a message; returns for how long it was held up. */
  record(message: ReceivedMessage): Milliseconds;
}

export function createTransitDelay(): TransitDelay {
  let firstAt: Milliseconds | undefined;
  let windowStart = -Infinity;
  let shortest = Infinity;
  let shortestBefore = Infinity;
  return {
    record({ sentAt, now, loopDelay }) {
      firstAt ??= now;
      if (now - windowStart >= WINDOW_MS) {
        shortestBefore = now - windowStart >= 2 * WINDOW_MS
          ? Infinity
          : shortest;
        shortest = Infinity;
        windowStart = now;
      }
      const difference = now - sentAt;
      shortest = Math.min(shortest, difference);
      const longer = difference - Math.min(shortest, shortestBefore);
      return now - firstAt < UNKNOWN_FOR_MS
        ? Math.max(longer, loopDelay)
        : longer;
    },
  };
}
