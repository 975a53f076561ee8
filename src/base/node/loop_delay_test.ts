import assert from "node:assert/strict";
import { test } from "node:test";
import { Clock, VirtualClock } from "../common/clock.ts";
import type { Disposable } from "../common/disposable.ts";
import { createLoopDelay } from "./loop_delay.ts";

/** A clock whose timers fire late while the event loop is blocked. */
class BusyClock extends Clock {
  readonly #virtual = new VirtualClock();
  #blockedTime = 0;

  override now(): number {
    return this.#virtual.now() + this.#blockedTime;
  }

  override schedule(delay: number, callback: () => void): Disposable {
    return this.#virtual.schedule(delay, callback);
  }

  /** Lets time pass without running timers. */
  blockFor(duration: number): void {
    this.#blockedTime += duration;
  }

  advance(duration: number): void {
    this.#virtual.advance(duration);
  }
}

// Guards against starting calls whose callers disconnected while the process was busy.
test("the delay covers the current iteration, and the previous one until the next check", () => {
  const clock = new BusyClock();
  const delay = createLoopDelay(clock);
  clock.advance(350);
  assert.equal(delay.current, 0);
  clock.blockFor(600);
  assert.equal(delay.current, 550);
  clock.advance(50);
  assert.equal(delay.current, 600);
  clock.advance(100);
  assert.equal(delay.current, 0);
  delay.dispose();
});

// Guards against a slow process that keeps a task which others wait for.
test("a process whose events wait long is overloaded until they have been on time for seconds", () => {
  const clock = new BusyClock();
  const delay = createLoopDelay(clock);
  const changes: boolean[] = [];
  delay.onOverloadedChanged(() => changes.push(delay.isOverloaded));
  for (let iteration = 0; iteration < 10; iteration += 1) {
    clock.blockFor(40);
    clock.advance(100);
  }
  assert.equal(delay.isOverloaded, false);
  for (let iteration = 0; iteration < 10; iteration += 1) {
    clock.blockFor(200);
    clock.advance(100);
  }
  assert.equal(delay.isOverloaded, true);
  clock.advance(1_000);
  assert.equal(delay.isOverloaded, true);
  clock.advance(4_000);
  assert.equal(delay.isOverloaded, false);
  assert.deepEqual(changes, [true, false]);
  delay.dispose();
});
