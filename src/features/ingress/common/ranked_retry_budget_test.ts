import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createRetryBudget } from "../../attempt/common/retry_budget.ts";
import { createRankedRetryBudget } from "./ranked_retry_budget.ts";

interface Served {
  readonly writes: number;
  readonly reads: number;
  readonly retries: number;
}

/** Simulates 20 s of calls of one daemon. Every instance refuses 55% of them; one call in four is a write. */
function simulateRefusals(
  seed: number,
  take: (rank: number, now: number) => boolean,
  recordFirst: (now: number) => void,
): Served {
  const random = createRandomSource(seed);
  const served = { writes: 0, reads: 0, retries: 0 };
  const calls = { writes: 0, reads: 0 };
  for (let now = 0; now < 20_000; now += 50) {
    const kind = random.nextFraction() < 0.25 ? "writes" : "reads";
    recordFirst(now);
    calls[kind] += 1;
    let isServed = random.nextFraction() >= 0.55;
    if (!isServed && take(kind === "writes" ? 1 : 2, now)) {
      served.retries += 1;
      isServed = random.nextFraction() >= 0.55;
    }
    served[kind] += isServed ? 1 : 0;
  }
  return {
    writes: served.writes / calls.writes,
    reads: served.reads / calls.reads,
    retries: served.retries / (calls.writes + calls.reads),
  };
}

function meanOf(runs: readonly Served[]): Served {
  const mean = (key: keyof Served) =>
    runs.reduce((sum, run) => sum + run[key], 0) / runs.length;
  return {
    writes: mean("writes"),
    reads: mean("reads"),
    retries: mean("retries"),
  };
}

describe("retries while every instance refuses over half of the calls", () => {
  const seeds = Array.from({ length: 40 }, (_, index) => index + 1);
  const byRank = meanOf(seeds.map((seed) => {
    const budget = createRankedRetryBudget();
    return simulateRefusals(seed, budget.takeRetry, budget.recordFirstAttempt);
  }));
  const byArrival = meanOf(seeds.map((seed) => {
    const budget = createRetryBudget();
    return simulateRefusals(
      seed,
      (_, now) => budget.takeRetry(now, 0.15),
      (now) => budget.recordFirstAttempt(now),
    );
  }));
  console.log({ byRank, byArrival });

  test("reads do not use up the retries that writes need", () => {
    assert.ok(byRank.writes > byArrival.writes + 0.05);
  });

  test("the retries of all calls stay within the share", () => {
    assert.ok(byRank.retries <= 0.15);
    assert.ok(byRank.retries > 0.1);
  });
});

test("a retry that reached no instance is returned to the budget", () => {
  const budget = createRankedRetryBudget();
  for (let now = 0; now < 1_000; now += 100) {
    budget.recordFirstAttempt(now);
  }
  assert.equal(budget.takeRetry(1, 1_000), true);
  assert.equal(budget.takeRetry(1, 1_000), false);
  budget.returnRetry(1_000);
  assert.equal(budget.takeRetry(1, 1_100), true);
});

const SINGLE_RANK_CASES = [
  { name: "reads get the whole share when there are no writes", rank: 2 },
  { name: "writes get the whole share when there are no reads", rank: 1 },
];
for (const { name, rank } of SINGLE_RANK_CASES) {
  test(name, () => {
    const budget = createRankedRetryBudget();
    let retries = 0;
    for (let now = 0; now < 10_000; now += 50) {
      budget.recordFirstAttempt(now);
      retries += budget.takeRetry(rank, now) ? 1 : 0;
    }
    assert.ok(retries >= 28 && retries <= 30, String(retries));
  });
}
