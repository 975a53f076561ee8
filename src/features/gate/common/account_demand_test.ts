import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createAccountDemand } from "./account_demand.ts";

const BOUNDS = { maximumAccounts: 4, maximumRanks: 2 };

describe("the work that accounts offer", () => {
  test("is counted by account and rank, and decays", () => {
    const demand = createAccountDemand(BOUNDS);
    demand.record(0, "a", { work: 30, now: 0 });
    demand.record(0, "b", { work: 70, now: 0 });
    demand.record(1, "a", { work: 5, now: 0 });
    assert.deepEqual(demand.workOf(0, "a", 0), { own: 30, all: 100 });
    assert.deepEqual(demand.workOf(1, "a", 0), { own: 5, all: 5 });
    const { own, all } = demand.workOf(0, "a", 5_000);
    assert.ok(own > 10 && own < 12, String(own));
    assert.ok(Math.abs(own / all - 0.3) < 1e-9);
  });

  // Guards against memory that grows with the number of accounts and ranks.
  test("is forgotten for the accounts and ranks that offered nothing for longest", () => {
    const demand = createAccountDemand(BOUNDS);
    for (const account of ["a", "b", "a", "c", "d", "e"]) {
      demand.record(0, account, { work: 10, now: 0 });
    }
    const accounts = ["a", "b", "c", "d", "e"];
    assert.deepEqual(
      accounts.map((account) => demand.workOf(0, account, 0).own),
      [20, 0, 10, 10, 10],
    );
    for (const rank of [1, 2]) {
      demand.record(rank, "a", { work: 10, now: 0 });
    }
    assert.deepEqual(
      [0, 1, 2].map((rank) => demand.workOf(rank, "a", 0).all),
      [0, 10, 10],
    );
    for (const rank of [1, 3]) {
      demand.record(rank, "a", { work: 10, now: 0 });
    }
    assert.deepEqual(
      [1, 2, 3].map((rank) => demand.workOf(rank, "a", 0).all),
      [20, 0, 10],
    );
  });
});
