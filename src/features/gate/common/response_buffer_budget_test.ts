import assert from "node:assert/strict";
import { test } from "node:test";
import { createResponseBufferBudget } from "./response_buffer_budget.ts";

test("concurrent endless bodies: the largest responses are aborted, and small ones are not", () => {
  const budget = createResponseBufferBudget(1_000);
  const aborted: string[] = [];
  const reserve = (name: string) => budget.reserve(() => aborted.push(name));
  const small = reserve("small");
  const growing = ["a", "b", "c"].map(reserve);
  small.resize(10);
  for (let bytes = 20; bytes <= 400; bytes += 20) {
    for (const reservation of growing) {
      reservation.resize(bytes);
      assert.ok(budget.reservedBytes <= 1_000);
    }
  }
  assert.deepEqual(aborted.slice(0, 1), ["a"]);
  assert.ok(!aborted.includes("small"));
  for (const share of [small, ...growing]) {
    share.dispose();
  }
  assert.equal(budget.reservedBytes, 0);
});

test("a complete response releases its memory for others", () => {
  const budget = createResponseBufferBudget(100);
  let count = 0;
  const first = budget.reserve(() => count += 1);
  first.resize(90);
  first.resize(0);
  budget.reserve(() => count += 1).resize(90);
  assert.equal(count, 0);
  assert.equal(budget.reservedBytes, 90);
});

test("a response larger than the whole budget is aborted itself", () => {
  const budget = createResponseBufferBudget(100);
  let count = 0;
  budget.reserve(() => count += 1).resize(101);
  assert.equal(count, 1);
  assert.equal(budget.reservedBytes, 0);
});
