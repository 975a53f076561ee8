/**
 * The clock abstraction. Pure code takes an instant as an argument; code that waits takes a {@linkcode Clock}.
 *
 * @module
 */

import { createBinaryHeap } from "./binary_heap.ts";
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
  /** Timers that are due at the same time run in the order in which they were scheduled. */
  readonly number: number;
  /** Undefined once the timer is cancelled. */
  callback: (() => void) | undefined;
}

/** A clock for tests and measurements whose time changes only through {@linkcode VirtualClock.advance}. */
export class VirtualClock extends Clock {
  #now: Milliseconds;
  #lastTimerNumber = 0;
  readonly #timers = createBinaryHeap<Timer>((left, right) =>
    left.dueAt - right.dueAt || left.number - right.number
  );

  constructor(startAt: Milliseconds = 0) {
    super();
    this.#now = startAt;
  }

  override now(): Milliseconds {
    return this.#now;
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    this.#lastTimerNumber += 1;
    const timer: Timer = {
      dueAt: this.#now + Math.max(0, delay),
      number: this.#lastTimerNumber,
      callback,
    };
    this.#timers.push(timer);
    return createDisposable(() => {
      timer.callback = undefined;
    });
  }

  /** Advances the time and runs the timers that become due, in order of their due time. */
  advance(duration: Milliseconds): void {
    const endAt = this.#now + duration;
    for (
      let next = this.#timers.peek();
      next !== undefined && next.dueAt <= endAt;
      next = this.#timers.peek()
    ) {
      this.#timers.pop();
      const { callback } = next;
      if (callback !== undefined) {
        this.#now = next.dueAt;
        callback();
      }
    }
    this.#now = endAt;
  }
}
