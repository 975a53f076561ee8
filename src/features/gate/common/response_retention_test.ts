import assert from "node:assert/strict";
import { test } from "node:test";
import { createResponseRetention } from "./response_retention.ts";

test("large responses to all calls: the oldest are evicted", () => {
  const retention = createResponseRetention(100);
  assert.deepEqual(retention.retain("a", 40), []);
  assert.deepEqual(retention.retain("b", 40), []);
  assert.deepEqual(retention.retain("c", 40), ["a"]);
  assert.deepEqual(retention.retain("d", 100), ["b", "c"]);
  assert.equal(retention.retainedBytes, 100);
});

test("a released response makes room for others", () => {
  const retention = createResponseRetention(100);
  retention.retain("a", 60);
  retention.release("a");
  retention.release("a");
  assert.deepEqual(retention.retain("b", 60), []);
  assert.equal(retention.retainedBytes, 60);
});
