import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MONOTONIC_CLOCK } from "./system_clock.ts";

// Guards against timers that fire at once because their delay does not fit into 31 bits.
for (const delay of [2 ** 31, 1e10, 1e300, Infinity]) {
  test(`a timer with a delay of ${delay} ms does not fire at once`, async () => {
    let isFired = false;
    const timer = MONOTONIC_CLOCK.schedule(delay, () => isFired = true);
    await sleep(30);
    timer.dispose();
    assert.equal(isFired, false);
  });
}
