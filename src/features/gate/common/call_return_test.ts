import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { isReturned } from "./call_return.ts";

describe("a call that may be returned by its gate", () => {
  const cases = [
    { name: "would start at once", waited: 0, expectedWait: 0, result: false },
    { name: "would wait briefly", waited: 0, expectedWait: 90, result: false },
    { name: "would wait long", waited: 0, expectedWait: 110, result: true },
    {
      name: "has waited briefly when its host turns slow",
      waited: 50,
      expectedWait: 60,
      result: true,
    },
    // Guards against calls that are held and then refused.
    {
      name: "has already waited long",
      waited: 110,
      expectedWait: 500,
      result: false,
    },
  ];
  for (const { name, waited, expectedWait, result } of cases) {
    test(`${name}: ${result ? "returned" : "kept"}`, () => {
      assert.equal(
        isReturned({ waited, expectedWait, objective: 800 }),
        result,
      );
    });
  }

  test("past its objective is returned as soon as it would wait", () => {
    assert.ok(isReturned({ waited: 0, expectedWait: 1, objective: -5 }));
  });
});
