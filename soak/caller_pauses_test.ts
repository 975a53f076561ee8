import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../src/base/common/random_source.ts";
import { drawPause, MEAN_IDLE_MS } from "./caller_pauses.ts";

const CALLERS = 600;
const WINDOW_MS = 100;
/** Chance alone does not bring three times the mean and ten more into a window. */
const MAXIMUM_IN_WINDOW = 3 * CALLERS * WINDOW_MS / MEAN_IDLE_MS + 10;

// Guards against a moment at which callers send more calls than the instances have slots.
describe("callers that start together do not call at the same moment later", () => {
  for (const seed of [1, 2, 3]) {
    test(`seed ${seed}`, () => {
      const random = createRandomSource(seed);
      const counts = new Map<number, number>();
      for (let caller = 0; caller < CALLERS; caller += 1) {
        const pause = drawPause(random, caller / CALLERS);
        const window = Math.floor(pause / WINDOW_MS);
        counts.set(window, (counts.get(window) ?? 0) + 1);
      }
      assert.ok(Math.max(...counts.values()) <= MAXIMUM_IN_WINDOW);
      assert.ok(Math.max(...counts.keys()) * WINDOW_MS <= 2 * MEAN_IDLE_MS);
    });
  }
});
