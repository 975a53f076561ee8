import assert from "node:assert/strict";
import { test } from "node:test";
import { decideAdmission } from "./admission_decision.ts";
import { createCallQueue, type QueueableCall } from "./call_queue.ts";

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
      "twelve calls to two slots are all admitted, since the last can finish within its objective",
    workMilliseconds: 45,
    waiting: [],
    arriving: { count: 12, rank: 1 },
    admitted: 12,
  },
  {
    name:
      "of more calls, only those are admitted that can finish within their objective",
    workMilliseconds: 45,
    waiting: [],
    arriving: { count: 20, rank: 1 },
    admitted: 12,
  },
  {
    name:
      "urgent uploads are admitted regardless of queued nested calls of reads",
    workMilliseconds: 50,
    waiting: [{ count: 48, rank: 2, isNested: true }],
    arriving: { count: 8, rank: 1 },
    admitted: 8,
  },
  {
    name: "reads are refused behind queued nested calls of the same rank",
    workMilliseconds: 50,
    waiting: [{ count: 48, rank: 2, isNested: true }],
    arriving: { count: 8, rank: 2 },
    admitted: 0,
  },
];

for (const { name, workMilliseconds, waiting, arriving, admitted } of CASES) {
  test(name, () => {
    const queue = createCallQueue<QueueableCall>();
    const createCall = (
      { rank, isNested = false }: Arrivals,
      index: number,
    ) => ({
      identity: `${rank}.${isNested}.${index}`,
      isNested,
      rank,
      objectiveAt: OBJECTIVE_MS,
      deadlineAt: 1_000,
      expectedMilliseconds: workMilliseconds,
    });
    for (const group of waiting) {
      for (let index = 0; index < group.count; index += 1) {
        queue.enqueue(createCall(group, index));
      }
    }
    let running = waiting.length === 0 ? 0 : SLOTS;
    let admittedCount = 0;
    for (let index = 0; index < arriving.count; index += 1) {
      const call = { ...createCall(arriving, index), identity: `new.${index}` };
      const decision = decideAdmission(call, {
        running,
        limit: SLOTS,
        ahead: queue.countAhead(call, 0),
        meanMilliseconds: workMilliseconds,
      }, 0);
      admittedCount += decision.type === "refuse" ? 0 : 1;
      running += decision.type === "start" ? 1 : 0;
      if (decision.type === "wait") {
        queue.enqueue(call);
      }
    }
    assert.equal(admittedCount, admitted);
  });
}
