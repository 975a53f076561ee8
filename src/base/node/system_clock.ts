/**
 * The clocks of the host.
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

/** Durations only: it keeps running evenly while the time of day jumps. */
class SteadyClock extends SystemClock {
  override now(): Milliseconds {
    return performance.now();
  }
}

export const STEADY_CLOCK: Clock = new SteadyClock();

export const SYSTEM_CLOCK: Clock = new SystemClock();
