import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createRequestRate } from "./request_rate.ts";

const WINDOW_MS = 4_000;

/** Starts requests whenever the rate allows, with limits that change, and returns when they started. */
function simulate(seed: number, limits: readonly (number | undefined)[]) {
  const random = createRandomSource(seed);
  const rate = createRequestRate();
  const starts: number[] = [];
  for (let now = 0; now < 20_000; now += 1 + random.nextInteger(5)) {
    if (now % 1_000 < 5) {
      rate.setLimit(limits[random.nextInteger(limits.length)], now);
    }
    if (rate.timeUntil(1, now) === 0) {
      rate.record(now);
      starts.push(now);
    }
  }
  return starts;
}

function countMostInWindow(starts: readonly number[]): number {
  return Math.max(
    ...starts.map((start) =>
      starts.filter((at) => at >= start && at < start + WINDOW_MS).length
    ),
  );
}

// Guards against an instance that gets more requests than the limit that it has named.
describe("requests within the rate limit of an instance", () => {
  const cases = [
    { name: "a low limit", limits: [2.5] },
    { name: "a high limit", limits: [67.3] },
    { name: "a limit that changes", limits: [10, 67.3, 42.1] },
  ];
  for (const { name, limits } of cases) {
    test(`${name}: never more than allowed in any window, and most of it is used`, () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const starts = simulate(seed, limits);
        const highest = Math.max(...limits);
        assert.ok(
          countMostInWindow(starts) <= 1.5 * highest * WINDOW_MS / 1_000 + 5,
        );
        assert.ok(starts.length >= 0.8 * Math.min(...limits) * 20);
      }
    });
  }

  test("a limit that has just been named allows no burst", () => {
    const rate = createRequestRate();
    rate.setLimit(100, 10_000);
    assert.ok(rate.timeUntil(1, 10_000) > 0);
    assert.equal(rate.timeUntil(1, 10_010), 0);
    assert.ok(rate.timeUntil(2, 10_010) > 0);
  });

  test("without a limit requests start at once", () => {
    const rate = createRequestRate();
    rate.setLimit(1, 0);
    rate.setLimit(undefined, 1);
    assert.equal(rate.timeUntil(1_000, 1), 0);
  });

  test("an instance that names hardly any requests still gets some, whose responses tell when the limit ends", () => {
    const rate = createRequestRate();
    rate.setLimit(1e-9, 0);
    assert.ok(rate.timeUntil(1, 0) <= WINDOW_MS / 2);
  });
});
