/**
 * Estimates how long messages of a peer were delayed in transit.
 *
 * Load pattern: a daemon that has just restarted, or whose link loses packets, processes an offer a second
 * after it was sent. Its caller has left by then, and the call would take a slot from calls that are still
 * waited for. The clocks of two hosts are not comparable, so the smallest difference between receive and
 * send time in the last seconds is the base delay, and the delay of a message is its excess over that.
 * Right after a link has opened there is no base delay yet; the event loop delay of the receiver is then
 * the lower bound of the estimate.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** The base delay is the minimum over one to two windows, so that a clock shift expires after that. */
const WINDOW_MS: Milliseconds = 5_000;

/** For this long after its first message, a peer has too few samples for a reliable base delay. */
const WARM_UP_MS: Milliseconds = 3_000;

export interface ReceivedMessage {
  /** The sender's monotonic clock. */
  readonly sentAt: Milliseconds;
  readonly now: Milliseconds;
  /** How long the message may have waited for the event loop of the receiving process. */
  readonly loopDelay: Milliseconds;
}

export interface TransitDelayEstimator {
  /** Records a message and returns its estimated delay. */
  record(message: ReceivedMessage): Milliseconds;
}

export function createTransitDelayEstimator(): TransitDelayEstimator {
  let firstAt: Milliseconds | undefined;
  let windowStart = -Infinity;
  let baseDelay = Infinity;
  let previousBaseDelay = Infinity;
  return {
    record({ sentAt, now, loopDelay }) {
      firstAt ??= now;
      if (now - windowStart >= WINDOW_MS) {
        previousBaseDelay = now - windowStart >= 2 * WINDOW_MS
          ? Infinity
          : baseDelay;
        baseDelay = Infinity;
        windowStart = now;
      }
      const oneWayDelay = now - sentAt;
      baseDelay = Math.min(baseDelay, oneWayDelay);
      const excess = oneWayDelay - Math.min(baseDelay, previousBaseDelay);
      return now - firstAt < WARM_UP_MS ? Math.max(excess, loopDelay) : excess;
    },
  };
}
