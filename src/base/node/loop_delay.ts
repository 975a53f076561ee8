/**
 * Measures the delay of the event loop of this process.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Disposable } from "../common/disposable.ts";
import { createEmitter, type Event } from "../common/emitter.ts";
import type { Milliseconds } from "../common/milliseconds.ts";

/** Much shorter delays are not detected. Each check wakes the process, so checks are not more frequent. */
const CHECK_INTERVAL_MS: Milliseconds = 100;

/** The weight of a delay in the average falls to about a third within this time. */
const AVERAGING_TIME_MS: Milliseconds = 1_000;
/** A process is overloaded above the first average delay, until the average falls below the second. */
const OVERLOADED_ABOVE_MS: Milliseconds = 100;
const RECOVERED_BELOW_MS: Milliseconds = 30;

export interface LoopDelay extends Disposable {
  /** The longest time that the events handled now may have waited in this process. */
  readonly current: Milliseconds;
  /** Whether events have waited long on average, so that this process should do nothing for others. */
  readonly isOverloaded: boolean;
  readonly onOverloadedChanged: Event<void>;
}

export function createLoopDelay(clock: Clock): LoopDelay {
  let dueAt = clock.now() + CHECK_INTERVAL_MS;
  let lastDelay: Milliseconds = 0;
  let averageDelay: Milliseconds = 0;
  let isOverloaded = false;
  const overloadedChanged = createEmitter<void>();
  const timer = clock.repeat(CHECK_INTERVAL_MS, () => {
    const now = clock.now();
    lastDelay = Math.max(0, now - dueAt);
    const weight = 1 -
      Math.exp(-(CHECK_INTERVAL_MS + lastDelay) / AVERAGING_TIME_MS);
    averageDelay += weight * (lastDelay - averageDelay);
    dueAt = now + CHECK_INTERVAL_MS;
    const wasOverloaded = isOverloaded;
    isOverloaded = averageDelay >
      (isOverloaded ? RECOVERED_BELOW_MS : OVERLOADED_ABOVE_MS);
    if (isOverloaded !== wasOverloaded) {
      overloadedChanged.fire();
    }
  });
  return {
    get current() {
      return Math.max(lastDelay, clock.now() - dueAt);
    },
    get isOverloaded() {
      return isOverloaded;
    },
    onOverloadedChanged: overloadedChanged.event,
    dispose() {
      timer.dispose();
      overloadedChanged.dispose();
    },
  };
}

/** From this event loop delay on, events may have waited in the process for unusually long. */
export const STALL_THRESHOLD_MS: Milliseconds = 100;

/**
 * Runs the callback immediately, or, after an event loop stall, once the events that occurred during the stall are
 * handled. Timers and responses that are handled first would otherwise start work for callers whose disconnect has
 * not been read yet.
 */
export function deferAfterStall(
  loopDelay: Milliseconds,
  callback: () => void,
): void {
  if (loopDelay < STALL_THRESHOLD_MS) {
    callback();
  } else {
    runAfterPendingEvents(callback);
  }
}

/**
 * Runs the callback after the events that have already occurred are handled. This takes two event loop iterations:
 * libuv stops reading a connection in an iteration after a read that does not fill its buffer, so what follows
 * directly is read in the next one.
 */
export function runAfterPendingEvents(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
