import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decideAdmission, estimateQueueWait } from "./admission_decision.ts";
import type { QueueableCall } from "./call_queue.ts";
import { createSharedRoom, type RoomInUse } from "./shared_room.ts";

const SLOTS = 4;
const NOW = 2_000;

function createCall(fields: Partial<QueueableCall> = {}): QueueableCall {
  return {
    identity: "call",
    isNested: false,
    rank: 1,
    objectiveAt: NOW + 300,
    deadlineAt: NOW + 600,
    expectedMilliseconds: 50,
    account: "a",
    ...fields,
  };
}

const ARCHIVE = createCall({
  rank: 2,
  objectiveAt: NOW + 3_000,
  deadlineAt: NOW + 6_000,
  expectedMilliseconds: 476,
});
const NESTED = createCall({
  isNested: true,
  objectiveAt: NOW + 100,
  expectedMilliseconds: 30,
});

function createRoom(running: readonly QueueableCall[]): RoomInUse {
  return {
    running: new Set(running.map((call) => ({ ...call }))),
    limit: SLOTS,
    capacity: SLOTS,
    ahead: 0,
    countSamePriorityAhead: () => 0,
    meanMilliseconds: 70,
    rateWait: 0,
  };
}

function repeat(call: QueueableCall, count: number): QueueableCall[] {
  return Array.from({ length: count }, () => call);
}

/** Offers nested calls at the rate of one of 31 instances for 2 s. */
function createPressedRoom() {
  const shared = createSharedRoom();
  for (let at = 0; at < NOW; at += 26) {
    shared.recordOffered({ ...NESTED, objectiveAt: at + 100 }, at);
  }
  return shared;
}

describe("the wait for a slot where accounts share the room", () => {
  const cases = [
    {
      name: "a nested call that finds four reports",
      call: NESTED,
      running: repeat(ARCHIVE, 4),
      decision: "refuse",
    },
    {
      name: "a nested call that finds three short calls and a report",
      call: NESTED,
      running: [...repeat(NESTED, 3), ARCHIVE],
      decision: "wait",
    },
    {
      name: "a nested call that finds a free slot",
      call: NESTED,
      running: repeat(ARCHIVE, 3),
      decision: "start",
    },
    {
      name: "a report that finds a report",
      call: ARCHIVE,
      running: repeat(ARCHIVE, 1),
      decision: "start",
    },
    {
      name: "a report that finds all slots open to it in use",
      call: ARCHIVE,
      running: repeat(ARCHIVE, 2),
      decision: "wait",
    },
  ];
  for (const { name, call, running, decision } of cases) {
    test(`${name}: ${decision}`, () => {
      const shared = createPressedRoom();
      const load = shared.describeLoad(call, createRoom(running), NOW);
      assert.equal(decideAdmission(call, load, NOW).type, decision);
    });
  }

  test("of a report that cannot start is the time until one of its slots is free", () => {
    const shared = createPressedRoom();
    const room = createRoom(repeat(ARCHIVE, 2));
    const wait = estimateQueueWait(shared.describeLoad(ARCHIVE, room, NOW));
    assert.equal(wait, 476 / 2);
    assert.equal(shared.reservedSlots, 2);
    const behindOthers = { ...room, ahead: 3, countSamePriorityAhead: () => 3 };
    assert.equal(
      estimateQueueWait(shared.describeLoad(ARCHIVE, behindOthers, NOW)),
      4 * 476 / 2,
    );
  });

  test("counts the capacity of an instance with a rate limit, not its slots", () => {
    const shared = createPressedRoom();
    for (let at = 0; at < NOW; at += 26) {
      shared.recordAdmitted(NESTED, at);
    }
    const limited = { ...createRoom([]), capacity: 1 };
    const load = shared.describeLoad(createCall({ rank: 3 }), limited, NOW);
    assert.ok(load.higherPriorityLoad! > 0.8);
  });
});

describe("the last free slot after calls of other accounts were refused", () => {
  const BUSY = createCall({ account: "busy" });

  function createRoomOfBusy() {
    const shared = createSharedRoom();
    for (let index = 0; index < 30; index += 1) {
      shared.shares.recordStart(BUSY, NOW);
    }
    for (const account of ["a", "b", "c", "d"]) {
      shared.shares.recordStart(createCall({ account }), NOW);
    }
    return shared;
  }

  const room = createRoom(repeat(createCall(), SLOTS - 1));
  const cases = [
    {
      name: "is not for an account above its share",
      call: BUSY,
      refused: createCall(),
      mayStart: false,
    },
    {
      name: "is for an account within its share",
      call: createCall(),
      refused: createCall(),
      mayStart: true,
    },
    {
      name: "is for a nested call, whose parent would fail",
      call: { ...BUSY, isNested: true },
      refused: createCall(),
      mayStart: true,
    },
    {
      name: "is not kept when calls of another rank were refused",
      call: BUSY,
      refused: createCall({ rank: 2 }),
      mayStart: true,
    },
    {
      name: "is not kept when only calls of the account itself were refused",
      call: BUSY,
      refused: BUSY,
      mayStart: true,
    },
  ];
  for (const { name, call, refused, mayStart } of cases) {
    test(name, () => {
      const shared = createRoomOfBusy();
      assert.equal(
        shared.recordRefused(refused, NOW),
        refused === BUSY ? "above-share" : "full",
      );
      assert.equal(shared.mayStart(call, room, NOW), mayStart);
      const load = shared.describeLoad(call, room, NOW);
      const decision = decideAdmission(call, load, NOW);
      assert.equal(decision.type === "start", mayStart);
    });
  }

  test("is for all accounts again a second later", () => {
    const shared = createRoomOfBusy();
    shared.recordRefused(createCall(), NOW);
    assert.equal(shared.mayStart(BUSY, room, NOW + 1_000), true);
  });
});
