import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnswerBudget } from "./response_buffer_budget.ts";

test("endless bodies of several calls at once: the largest are given up, and small answers are not", () => {
  const budget = createAnswerBudget(1_000);
  const givenUp: string[] = [];
  const open = (name: string) => budget.open(() => givenUp.push(name));
  const small = open("small");
  const endless = ["a", "b", "c"].map(open);
  small.resize(10);
  for (let bytes = 20; bytes <= 400; bytes += 20) {
    for (const share of endless) {
      share.resize(bytes);
      assert.ok(budget.heldBytes <= 1_000);
    }
  }
  assert.deepEqual(givenUp.slice(0, 1), ["a"]);
  assert.ok(!givenUp.includes("small"));
  for (const share of [small, ...endless]) {
    share.dispose();
  }
  assert.equal(budget.heldBytes, 0);
});

test("an answer that is complete makes room for others", () => {
  const budget = createAnswerBudget(100);
  let count = 0;
  const first = budget.open(() => count += 1);
  first.resize(90);
  first.resize(0);
  budget.open(() => count += 1).resize(90);
  assert.equal(count, 0);
  assert.equal(budget.heldBytes, 90);
});

test("an answer larger than the whole budget is given up itself", () => {
  const budget = createAnswerBudget(100);
  let count = 0;
  budget.open(() => count += 1).resize(101);
  assert.equal(count, 1);
  assert.equal(budget.heldBytes, 0);
});
