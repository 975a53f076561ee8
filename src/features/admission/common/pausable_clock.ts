/**
 * The clock of a process that a scenario pauses.
 *
 * @module
 */

import { Clock, type VirtualClock } from "../../../base/common/clock.ts";
import {
  createDisposable,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** A clock whose callbacks wait while its process is paused. */
export class PausableClock extends Clock {
  readonly #base: VirtualClock;
  readonly #waiting: (() => void)[] = [];
  isPaused = false;

  constructor(base: VirtualClock) {
    super();
    this.#base = base;
  }

  override now(): Milliseconds {
    return this.#base.now();
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    let disposed = false;
    const timer = this.#base.schedule(
      delay,
      () => this.whenRunning(() => disposed || callback()),
    );
    return createDisposable(() => {
      disposed = true;
      timer.dispose();
    });
  }

  /** Runs the action now, or when the process is resumed. */
  whenRunning(action: () => void): void {
    if (this.isPaused) {
      this.#waiting.push(action);
    } else {
      action();
    }
  }

  resume(): void {
    this.isPaused = false;
    this.#waiting.splice(0).forEach((action) => action());
  }
}
