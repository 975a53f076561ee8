/**
 * The clock abstraction. Pure code takes an instant as an argument; code that waits takes a {@linkcode Clock}.
 *
 * @module
 */

import { createDisposable, type Disposable } from "./disposable.ts";
import type { Milliseconds } from "./milliseconds.ts";

export abstract class Clock {
  /** Returns the current instant. */
  abstract now(): Milliseconds;

  /** Calls `callback` once after the delay. Disposing of the result cancels the call. */
  abstract schedule(delay: Milliseconds, callback: () => void): Disposable;

  /** Calls `callback` after every interval until the result is disposed of. */
  repeat(interval: Milliseconds, callback: () => void): Disposable {
    let pending: Disposable;
    const run = () => {
      pending = this.schedule(interval, run);
      callback();
    };
    pending = this.schedule(interval, run);
    return createDisposable(() => pending.dispose());
  }

  /** Resolves after the delay. */
  sleep(delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => this.schedule(delay, resolve));
  }
}

interface Timer {
  readonly dueAt: Milliseconds;
  readonly callback: () => void;
}

/** A clock for tests and measurements whose time changes only through {@linkcode VirtualClock.advance}. */
export class VirtualClock extends Clock {
  #now: Milliseconds;
  readonly #timers = new Set<Timer>();

  constructor(startAt: Milliseconds = 0) {
    super();
    this.#now = startAt;
  }

  override now(): Milliseconds {
    return this.#now;
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    const timer = { dueAt: this.#now + Math.max(0, delay), callback };
    this.#timers.add(timer);
    return createDisposable(() => this.#timers.delete(timer));
  }

  /** Advances the time and runs the timers that become due, in order of their due time. */
  advance(duration: Milliseconds): void {
    const endAt = this.#now + duration;
    for (
      let next = this.#nextTimer(endAt);
      next !== undefined;
      next = this.#nextTimer(endAt)
    ) {
      this.#timers.delete(next);
      this.#now = next.dueAt;
      next.callback();
    }
    this.#now = endAt;
  }

  #nextTimer(endAt: Milliseconds): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of this.#timers) {
      if (
        timer.dueAt <= endAt && (next === undefined || timer.dueAt < next.dueAt)
      ) {
        next = timer;
      }
    }
    return next;
  }
}
