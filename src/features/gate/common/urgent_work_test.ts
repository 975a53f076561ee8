import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { QueueableCall } from "./call_queue.ts";
import { createUrgentWork, type UrgentWork } from "./urgent_work.ts";

const WRITE = { rank: 0, expectedMilliseconds: 80, objectiveIn: 258 };
const NESTED = {
  rank: 1,
  isNested: true,
  expectedMilliseconds: 30,
  objectiveIn: 100,
};
const ARCHIVE = { rank: 2, expectedMilliseconds: 476, objectiveIn: 3_000 };

interface CallKind {
  readonly rank: number;
  readonly isNested?: boolean;
  readonly expectedMilliseconds: number;
  readonly objectiveIn: number;
}

function createCall(kind: CallKind, now: number): QueueableCall {
  return {
    identity: String(now),
    isNested: kind.isNested ?? false,
    rank: kind.rank,
    objectiveAt: now + kind.objectiveIn,
    deadlineAt: now + 2 * kind.objectiveIn,
    expectedMilliseconds: kind.expectedMilliseconds,
  };
}

/** Offers calls at regular intervals for 10 s. */
function offer(
  work: UrgentWork,
  kind: CallKind,
  perSecond: number,
  isAdmitted = true,
): void {
  for (let now = 0; now < 10_000; now += 1_000 / perSecond) {
    const call = createCall(kind, now);
    work.recordOffered(call, now);
    if (isAdmitted) {
      work.recordAdmitted(call, now);
    }
  }
}

describe("the calls of higher priority at a gate", () => {
  test("count by rate, service time and the time that they can wait", () => {
    const work = createUrgentWork();
    offer(work, WRITE, 6);
    offer(work, NESTED, 32);
    const above = work.summarizeAbove({ rank: 2, isNested: false }, 10_000);
    assert.ok(Math.abs(above.perMillisecond - 0.038) < 0.004);
    assert.ok(Math.abs(above.meanMilliseconds - 38) < 4);
    assert.ok(above.waitMilliseconds > 50 && above.waitMilliseconds < 130);
    assert.ok(Math.abs(above.admittedSlots - 1.44) < 0.15);
  });

  test("are those of higher priority only", () => {
    const work = createUrgentWork();
    offer(work, ARCHIVE, 3);
    offer(work, NESTED, 32);
    assert.equal(
      work.summarizeAbove({ rank: 1, isNested: true }, 10_000).perMillisecond,
      0,
    );
    assert.ok(
      work.summarizeAbove({ rank: 1, isNested: false }, 10_000)
        .perMillisecond > 0.02,
    );
  });

  test("include those that were refused, which occupy no slots", () => {
    const work = createUrgentWork();
    offer(work, NESTED, 32, false);
    const above = work.summarizeAbove({ rank: 2, isNested: false }, 10_000);
    assert.ok(above.perMillisecond > 0.02);
    assert.equal(above.admittedSlots, 0);
  });

  test("are forgotten when no more arrive", () => {
    const work = createUrgentWork();
    offer(work, NESTED, 32);
    const above = work.summarizeAbove({ rank: 2, isNested: false }, 15_000);
    assert.ok(above.perMillisecond < 0.001);
  });
});
