import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createUnansweredCalls } from "./unanswered_calls.ts";

// Guards against nested calls of an instance that are refused for good because their client has left.
describe("the parents of late nested calls", () => {
  const cases: readonly {
    readonly name: string;
    readonly identity: string;
    readonly at: number;
    readonly recordedAfter?: number;
    readonly isFound: boolean;
  }[] = [
    { name: "before the deadline", identity: "a1.b", at: 400, isFound: true },
    { name: "in transit", identity: "a1.b", at: 1_400, isFound: true },
    {
      name: "long after the deadline",
      identity: "a1.b",
      at: 1_600,
      isFound: false,
    },
    { name: "of another call", identity: "a2.b", at: 400, isFound: false },
    { name: "with its identity", identity: "a1", at: 400, isFound: false },
    {
      name: "after many other calls",
      identity: "a1.b",
      at: 400,
      recordedAfter: 1_000,
      isFound: false,
    },
  ];
  for (const { name, identity, at, recordedAfter = 0, isFound } of cases) {
    test(name, () => {
      const calls = createUnansweredCalls();
      calls.record("a1", 500);
      for (let index = 0; index < recordedAfter; index += 1) {
        calls.record(`other${index}`, 500);
      }
      assert.equal(calls.mayHaveParent(identity, at), isFound);
    });
  }
});
