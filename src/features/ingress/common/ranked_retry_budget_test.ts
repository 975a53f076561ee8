import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createRetryBudget } from "../../attempt/common/retry_budget.ts";
import { createRepeatBudget } from "./repeat_budget.ts";

interface Served {
  readonly writes: number;
  readonly reads: number;
  readonly repeats: number;
}

/** One daemon, 20 s of calls; every instance refuses 55% of them. Writes are one call in four. */
function replayRefusals(
  seed: number,
  take: (rank: number, now: number) => boolean,
  recordFirst: (now: number) => void,
): Served {
  const random = createRandomSource(seed);
  const served = { writes: 0, reads: 0, repeats: 0 };
  const asked = { writes: 0, reads: 0 };
  for (let now = 0; now < 20_000; now += 50) {
    const kind = random.nextFraction() < 0.25 ? "writes" : "reads";
    recordFirst(now);
    asked[kind] += 1;
    let isServed = random.nextFraction() >= 0.55;
    if (!isServed && take(kind === "writes" ? 1 : 2, now)) {
      served.repeats += 1;
      isServed = random.nextFraction() >= 0.55;
    }
    served[kind] += isServed ? 1 : 0;
  }
  return {
    writes: served.writes / asked.writes,
    reads: served.reads / asked.reads,
    repeats: served.repeats / (asked.writes + asked.reads),
  };
}

function meanOf(runs: readonly Served[]): Served {
  const mean = (key: keyof Served) =>
    runs.reduce((sum, run) => sum + run[key], 0) / runs.length;
  return {
    writes: mean("writes"),
    reads: mean("reads"),
    repeats: mean("repeats"),
  };
}

describe("repeats while every instance refuses half of the calls", () => {
  const seeds = Array.from({ length: 40 }, (_, index) => index + 1);
  const byRank = meanOf(seeds.map((seed) => {
    const budget = createRepeatBudget();
    return replayRefusals(seed, budget.take, budget.recordFirst);
  }));
  const byArrival = meanOf(seeds.map((seed) => {
    const budget = createRetryBudget();
    return replayRefusals(
      seed,
      (_, now) => budget.takeRetry(now, 0.15),
      (now) => budget.recordFirstAttempt(now),
    );
  }));
  console.log({ byRank, byArrival });

  test("reads do not spend what writes need", () => {
    assert.ok(byRank.writes > byArrival.writes + 0.05);
  });

  test("the repeats of all calls stay within the share", () => {
    assert.ok(byRank.repeats <= 0.15);
    assert.ok(byRank.repeats > 0.1);
  });
});

test("a repeat that reached no instance is free for another call", () => {
  const budget = createRepeatBudget();
  for (let now = 0; now < 1_000; now += 100) {
    budget.recordFirst(now);
  }
  assert.equal(budget.take(1, 1_000), true);
  assert.equal(budget.take(1, 1_000), false);
  budget.giveBack(1_000);
  assert.equal(budget.take(1, 1_100), true);
});

const WITHOUT_URGENT = [
  { name: "reads alone have the whole share", rank: 2 },
  { name: "writes alone have the whole share", rank: 1 },
];
for (const { name, rank } of WITHOUT_URGENT) {
  test(name, () => {
    const budget = createRepeatBudget();
    let repeats = 0;
    for (let now = 0; now < 10_000; now += 50) {
      budget.recordFirst(now);
      repeats += budget.take(rank, now) ? 1 : 0;
    }
    assert.ok(repeats >= 28 && repeats <= 30, String(repeats));
  });
}
