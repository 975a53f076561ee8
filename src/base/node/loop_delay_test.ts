import assert from "node:assert/strict";
import { test } from "node:test";
import { Clock, VirtualClock } from "../common/clock.ts";
import type { Disposable } from "../common/disposable.ts";
import { createLoopDelay } from "./loop_delay.ts";

/** A clock whose timers fire late while the process is busy. */
class BusyClock extends Clock {
  readonly #virtual = new VirtualClock();
  #busyFor = 0;

  override now(): number {
    return this.#virtual.now() + this.#busyFor;
  }

  override schedule(delay: number, callback: () => void): Disposable {
    return this.#virtual.schedule(delay, callback);
  }

  /** Time passes without a timer being looked at. */
  work(duration: number): void {
    this.#busyFor += duration;
  }

  advance(duration: number): void {
    this.#virtual.advance(duration);
  }
}

// Guards against calls that are begun although their callers left while the process was busy.
test("the delay is that of the current turn, and of the last one until the next check", () => {
  const clock = new BusyClock();
  const delay = createLoopDelay(clock);
  clock.advance(350);
  assert.equal(delay.current, 0);
  clock.work(600);
  assert.equal(delay.current, 550);
  clock.advance(50);
  assert.equal(delay.current, 600);
  clock.advance(100);
  assert.equal(delay.current, 0);
  delay.dispose();
});
