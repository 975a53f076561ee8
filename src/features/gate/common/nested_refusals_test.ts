import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createNestedRefusals } from "./nested_refusals.ts";

const RUN_INTERVAL_MS = 50;

/** Offers a call every 50 ms; those that start fail with the given share. Returns the share that was refused. */
function offerCalls(
  refusals: ReturnType<typeof createNestedRefusals>,
  { from, to, failureShare }: {
    readonly from: number;
    readonly to: number;
    readonly failureShare: number;
  },
): number {
  let refused = 0;
  let offered = 0;
  let failures = 0;
  for (let now = from; now < to; now += RUN_INTERVAL_MS) {
    offered += 1;
    if (refusals.takeRefusal("order", now)) {
      refused += 1;
      continue;
    }
    failures += failureShare;
    const failed = failures >= 1;
    failures -= failed ? 1 : 0;
    refusals.recordRun("order", failed, now);
  }
  return refused / offered;
}

describe("calls whose nested calls are refused", () => {
  const cases = [
    {
      name: "none are refused while none fail",
      failureShare: 0,
      minimum: 0,
      maximum: 0,
    },
    {
      name: "none are refused while half succeed",
      failureShare: 0.5,
      minimum: 0,
      maximum: 0,
    },
    {
      name: "none are refused while one in five succeeds",
      failureShare: 0.8,
      minimum: 0,
      maximum: 0,
    },
    {
      name: "most are refused while all fail, and some probe",
      failureShare: 1,
      minimum: 0.4,
      maximum: 0.8,
    },
  ];
  for (const { name, failureShare, minimum, maximum } of cases) {
    test(name, () => {
      const refused = offerCalls(createNestedRefusals(), {
        from: 0,
        to: 10_000,
        failureShare,
      });
      assert.ok(refused >= minimum && refused <= maximum, String(refused));
    });
  }

  test("few are refused later than 200 ms after the last failure", () => {
    const refusals = createNestedRefusals();
    offerCalls(refusals, { from: 0, to: 5_000, failureShare: 1 });
    const refused = offerCalls(refusals, {
      from: 5_200,
      to: 6_200,
      failureShare: 0,
    });
    assert.ok(refused <= 0.05, String(refused));
  });

  test("calls of another route are not refused", () => {
    const refusals = createNestedRefusals();
    offerCalls(refusals, { from: 0, to: 5_000, failureShare: 1 });
    for (let index = 0; index < 20; index += 1) {
      assert.equal(refusals.takeRefusal("lookup", 5_000), false);
    }
  });

  test("a few failed runs after a start refuse nothing", () => {
    const refusals = createNestedRefusals();
    for (let index = 0; index < 3; index += 1) {
      refusals.recordRun("order", true, index);
      assert.equal(refusals.takeRefusal("order", index), false);
    }
  });
});
