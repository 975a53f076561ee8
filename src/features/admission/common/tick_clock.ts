/**
 * A virtual clock for simulations with many timers.
 *
 * @module
 */

import { Clock } from "../../../base/common/clock.ts";
import {
  createDisposable,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** Microtask turns after each tick, so that promises of answered requests settle first. */
const MICROTASK_TURNS = 6;

/**
 * A clock that advances by whole milliseconds. Timers are indexed by due time, so the cost of a
 * tick does not grow with the number of timers as it does in `VirtualClock`.
 */
export class TickClock extends Clock {
  #now: Milliseconds;
  readonly #timers = new Map<Milliseconds, Set<() => void>>();

  constructor(startAt: Milliseconds = 0) {
    super();
    this.#now = startAt;
  }

  override now(): Milliseconds {
    return this.#now;
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    const dueAt = this.#now + Math.max(1, Math.ceil(delay));
    const due = this.#timers.get(dueAt) ?? new Set();
    this.#timers.set(dueAt, due);
    const run = () => callback();
    due.add(run);
    return createDisposable(() => due.delete(run));
  }

  /** Advances to a point in time without waiting for promises. */
  advanceTo(time: Milliseconds): void {
    while (this.#now < time) {
      this.#now += 1;
      const due = this.#timers.get(this.#now);
      this.#timers.delete(this.#now);
      due?.forEach((run) => run());
    }
  }

  /** Advances by one millisecond and lets promises settle. */
  async tick(): Promise<void> {
    this.advanceTo(this.#now + 1);
    for (let turn = 0; turn < MICROTASK_TURNS; turn += 1) {
      await Promise.resolve();
    }
  }
}
