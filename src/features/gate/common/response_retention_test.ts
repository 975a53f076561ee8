import assert from "node:assert/strict";
import { test } from "node:test";
import { createAnswerRetention } from "./response_retention.ts";

test("large answers to all calls: the oldest are kept no longer", () => {
  const retention = createAnswerRetention(100);
  assert.deepEqual(retention.keep("a", 40), []);
  assert.deepEqual(retention.keep("b", 40), []);
  assert.deepEqual(retention.keep("c", 40), ["a"]);
  assert.deepEqual(retention.keep("d", 100), ["b", "c"]);
  assert.equal(retention.heldBytes, 100);
});

test("an answer whose time is over makes room", () => {
  const retention = createAnswerRetention(100);
  retention.keep("a", 60);
  retention.forget("a");
  retention.forget("a");
  assert.deepEqual(retention.keep("b", 60), []);
  assert.equal(retention.heldBytes, 60);
});
