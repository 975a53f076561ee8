/**
 * The clock of the machine.
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

export const SYSTEM_CLOCK: Clock = new SystemClock();
