/**
 * A clock that simulates a paused process.
 *
 * @module
 */

import { Clock, type VirtualClock } from "../../../base/common/clock.ts";
import {
  createDisposable,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** A clock that defers callbacks while its process is paused. */
export class PausableClock extends Clock {
  readonly #base: VirtualClock;
  readonly #deferred: (() => void)[] = [];
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

  /** Runs the action now, or after the process resumes. */
  whenRunning(action: () => void): void {
    if (this.isPaused) {
      this.#deferred.push(action);
    } else {
      action();
    }
  }

  /** Resumes the process and runs the deferred actions in order. */
  resume(): void {
    this.isPaused = false;
    this.#deferred.splice(0).forEach((action) => action());
  }
}
