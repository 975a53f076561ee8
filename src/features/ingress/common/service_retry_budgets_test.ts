import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createServiceRetryBudgets } from "./service_retry_budgets.ts";

const URGENT = { rank: 0, isNested: false };
const NESTED = { rank: 1, isNested: true };

/** Returns how many retries nested calls get after a second in which urgent calls failed as well. */
function takeNestedRetries(hasAccounts: boolean): number {
  const budget = createServiceRetryBudgets(() => hasAccounts).of("billing");
  for (let now = 0; now < 10_000; now += 50) {
    budget.recordFirstAttempt(URGENT, now);
    budget.recordFirstAttempt(NESTED, now);
  }
  let taken = 0;
  while (taken < 1_000 && budget.takeRetry(NESTED, 9_999)) {
    taken += 1;
  }
  return taken;
}

describe("the retry budget of a service", () => {
  test("keeps the retries of urgent calls for the window where callers have accounts", () => {
    assert.ok(takeNestedRetries(true) < 30);
  });

  test("is the same as before without accounts", () => {
    assert.equal(takeNestedRetries(false), 60);
  });

  test("is that of the service until the mode changes", () => {
    let hasAccounts = false;
    const budgets = createServiceRetryBudgets(() => hasAccounts);
    const before = budgets.of("billing");
    assert.equal(budgets.of("billing"), before);
    assert.notEqual(budgets.of("lookup"), before);
    hasAccounts = true;
    assert.notEqual(budgets.of("billing"), before);
  });
});
