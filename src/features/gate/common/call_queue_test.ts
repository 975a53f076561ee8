import assert from "node:assert/strict";
import { test } from "node:test";
import { decideAdmission } from "./admission_decision.ts";
import { createWaitingRoom, type WaitingCall } from "./call_queue.ts";

const SLOTS = 2;
const OBJECTIVE_MS = 300;

interface Arrivals {
  readonly count: number;
  readonly rank: number;
  readonly isNested?: boolean;
}

interface Case {
  readonly name: string;
  readonly workMilliseconds: number;
  readonly waiting: readonly Arrivals[];
  readonly arriving: Arrivals;
  readonly admitted: number;
}

const CASES: readonly Case[] = [
  {
    name:
      "twelve calls to two slots are all taken, since the last can end in time",
    workMilliseconds: 45,
    waiting: [],
    arriving: { count: 12, rank: 1 },
    admitted: 12,
  },
  {
    name: "of more calls those are taken that can end in time",
    workMilliseconds: 45,
    waiting: [],
    arriving: { count: 20, rank: 1 },
    admitted: 12,
  },
  {
    name:
      "urgent uploads are taken whatever number of nested calls of reads waits",
    workMilliseconds: 50,
    waiting: [{ count: 48, rank: 2, isNested: true }],
    arriving: { count: 8, rank: 1 },
    admitted: 8,
  },
  {
    name: "reads are refused behind nested calls of their rank",
    workMilliseconds: 50,
    waiting: [{ count: 48, rank: 2, isNested: true }],
    arriving: { count: 8, rank: 2 },
    admitted: 0,
  },
];

for (const { name, workMilliseconds, waiting, arriving, admitted } of CASES) {
  test(name, () => {
    const room = createWaitingRoom<WaitingCall>();
    const create = ({ rank, isNested = false }: Arrivals, index: number) => ({
      identity: `${rank}.${isNested}.${index}`,
      isNested,
      rank,
      objectiveAt: OBJECTIVE_MS,
      deadlineAt: 1_000,
      expectedMilliseconds: workMilliseconds,
    });
    for (const group of waiting) {
      for (let index = 0; index < group.count; index += 1) {
        room.add(create(group, index));
      }
    }
    let running = waiting.length === 0 ? 0 : SLOTS;
    let taken = 0;
    for (let index = 0; index < arriving.count; index += 1) {
      const call = { ...create(arriving, index), identity: `new.${index}` };
      const decision = decideAdmission(call, {
        running,
        limit: SLOTS,
        ahead: room.countAhead(call, 0),
        meanMilliseconds: workMilliseconds,
      }, 0);
      taken += decision.type === "refuse" ? 0 : 1;
      running += decision.type === "start" ? 1 : 0;
      if (decision.type === "wait") {
        room.add(call);
      }
    }
    assert.equal(taken, admitted);
  });
}
