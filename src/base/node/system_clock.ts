/**
 * The wall clock and the monotonic clock of the host.
 *
 * @module
 */

import { Clock } from "../common/clock.ts";
import { createDisposable, type Disposable } from "../common/disposable.ts";
import type { Milliseconds } from "../common/milliseconds.ts";

/** The longest delay of the runtime's timers, 25 days; a timer with a longer one would fire at once. */
export const MAXIMUM_TIMER_MS: Milliseconds = 2 ** 31 - 1;

export class SystemClock extends Clock {
  override now(): Milliseconds {
    return Date.now();
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    const timer = setTimeout(callback, Math.min(delay, MAXIMUM_TIMER_MS));
    return createDisposable(() => clearTimeout(timer));
  }
}

/** A clock for durations only, which is not affected by changes of the system time. */
class MonotonicClock extends SystemClock {
  override now(): Milliseconds {
    return performance.now();
  }
}

export const MONOTONIC_CLOCK: Clock = new MonotonicClock();

export const SYSTEM_CLOCK: Clock = new SystemClock();
