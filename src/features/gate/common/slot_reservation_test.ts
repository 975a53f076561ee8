import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { countUsableSlots, type UrgentLoad } from "./slot_reservation.ts";

const SLOTS = 4;
const REPORT_MS = 476;
/** Writes of 83 ms and nested calls of 30 ms at one of 31 instances. */
const URGENT: UrgentLoad = {
  perMillisecond: 0.038,
  meanMilliseconds: 38,
  waitMilliseconds: 80,
};

interface Case {
  readonly name: string;
  readonly limit?: number;
  readonly expectedMilliseconds?: number;
  readonly urgent?: Partial<UrgentLoad>;
  readonly usable: number;
}

const CASES: readonly Case[] = [
  { name: "reports leave half of the slots to urgent calls", usable: 2 },
  {
    name: "reports get all slots when hardly any urgent call arrives",
    urgent: { perMillisecond: 0.002 },
    usable: SLOTS,
  },
  {
    name: "reports get all slots when urgent calls can wait for one",
    urgent: { perMillisecond: 0.004, waitMilliseconds: 400 },
    usable: SLOTS,
  },
  {
    name: "reports keep a slot when urgent calls could use all of them",
    urgent: { perMillisecond: 0.2 },
    usable: 1,
  },
  {
    name: "calls as short as the urgent ones get all slots",
    expectedMilliseconds: 50,
    usable: SLOTS,
  },
  { name: "an instance with one slot runs reports", limit: 1, usable: 1 },
  { name: "an instance without slots has none", limit: 0, usable: 0 },
  {
    name: "calls get all slots when no urgent calls have arrived yet",
    urgent: { perMillisecond: 0, meanMilliseconds: 0, waitMilliseconds: 0 },
    usable: SLOTS,
  },
];

describe("the slots that calls may use beside more urgent ones", () => {
  for (const testCase of CASES) {
    const { name, limit = SLOTS, expectedMilliseconds = REPORT_MS } = testCase;
    test(name, () => {
      const urgent = { ...URGENT, ...testCase.urgent };
      assert.equal(
        countUsableSlots(limit, expectedMilliseconds, urgent),
        testCase.usable,
      );
    });
  }

  test("more urgent calls never leave more slots to reports", () => {
    let previous = SLOTS;
    for (
      let perMillisecond = 0;
      perMillisecond < 0.2;
      perMillisecond += 0.001
    ) {
      const usable = countUsableSlots(SLOTS, REPORT_MS, {
        ...URGENT,
        perMillisecond,
      });
      assert.ok(usable <= previous);
      previous = usable;
    }
  });
});
