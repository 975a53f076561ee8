/**
 * The wall clock and the monotonic clock of the host.
 *
 * @module
 */

import { Clock } from "../common/clock.ts";
import { createDisposable, type Disposable } from "../common/disposable.ts";
import type { Milliseconds } from "../common/milliseconds.ts";

export class SystemClock extends Clock {
  override now(): Milliseconds {
    return Date.now();
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    const timer = setTimeout(callback, delay);
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
