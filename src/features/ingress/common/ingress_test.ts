import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import {
  DEADLINE_EXCEEDED_REASON,
  type GateOutcome,
} from "../../gate/common/gate_call.ts";
import { type CourseState, decideNextStep } from "./call_course.ts";
import { secondSendDelay } from "./second_send.ts";
import { chooseService } from "./service_choice.ts";

const ANSWER: GateOutcome = {
  type: "answer",
  status: 200,
  rawHeaders: [],
  body: Buffer.alloc(0),
  serviceMilliseconds: 10,
  wasNestedRefused: false,
};
const FAILURE: GateOutcome = { ...ANSWER, status: 500 };
const BROKEN: GateOutcome = { type: "failed", reason: "reset" };
const TIME_OVER: GateOutcome = {
  type: "failed",
  reason: DEADLINE_EXCEEDED_REASON,
};
const GATE_FULL: GateOutcome = {
  type: "refused",
  reason: "full",
  retryAfter: 40,
  reachedInstance: false,
};
const INSTANCE_FULL: GateOutcome = { ...GATE_FULL, reachedInstance: true };

const STATE: CourseState = {
  kind: "safe",
  instancesReached: 1,
  fullGates: 0,
  maximumInstances: 2,
  mayHaveRun: true,
  hasCandidate: () => true,
  timeLeft: 500,
  usualMilliseconds: 90,
};

interface Case {
  readonly name: string;
  readonly outcome: GateOutcome;
  readonly state?: Partial<CourseState>;
  readonly budget?: boolean;
  readonly next: string;
}

const CASES: readonly Case[] = [
  { name: "an answer is delivered", outcome: ANSWER, next: "deliver" },
  {
    name: "an answer is delivered when the time is over, too",
    outcome: ANSWER,
    state: { timeLeft: -5 },
    next: "deliver",
  },
  {
    name: "a failed read goes to another instance",
    outcome: FAILURE,
    next: "ask-next",
  },
  {
    name:
      "a read that failed because its nested call was refused is not repeated",
    outcome: { ...FAILURE, wasNestedRefused: true },
    next: "deliver",
  },
  {
    name: "without budget the instance's own failure is delivered",
    outcome: FAILURE,
    budget: false,
    next: "deliver",
  },
  {
    name: "a write that may have run is not sent again",
    outcome: BROKEN,
    state: { kind: "unsafe" },
    next: "fail 502",
  },
  {
    name: "an upload that may have run is not sent again",
    outcome: BROKEN,
    state: { kind: "upload" },
    next: "fail 502",
  },
  {
    name: "the instances of a route are not exceeded",
    outcome: BROKEN,
    state: { instancesReached: 2 },
    next: "fail 502",
  },
  {
    name: "a full gate costs nothing, so the next is asked without budget",
    outcome: GATE_FULL,
    state: { kind: "unsafe", mayHaveRun: false, instancesReached: 0 },
    budget: false,
    next: "ask-next",
  },
  {
    name: "after two full gates a third one is asked",
    outcome: GATE_FULL,
    state: { mayHaveRun: false, instancesReached: 0, fullGates: 2 },
    next: "ask-next",
  },
  {
    name: "after three full gates no other one is asked",
    outcome: GATE_FULL,
    state: { mayHaveRun: false, instancesReached: 0, fullGates: 3 },
    next: "refuse 40",
  },
  {
    name: "a write that no instance has run is refused with a time to return",
    outcome: GATE_FULL,
    state: { kind: "unsafe", mayHaveRun: false, hasCandidate: () => false },
    next: "refuse 40",
  },
  {
    name:
      "a call is not refused as not run when an earlier instance may have run it",
    outcome: GATE_FULL,
    state: { hasCandidate: () => false },
    next: "fail 502",
  },
  {
    name: "a write that an instance itself refused goes on within the budget",
    outcome: INSTANCE_FULL,
    state: { kind: "unsafe", mayHaveRun: false },
    next: "ask-next",
  },
  {
    name: "and is refused without budget",
    outcome: INSTANCE_FULL,
    state: { kind: "unsafe", mayHaveRun: false },
    budget: false,
    next: "refuse 40",
  },
  {
    name:
      "a call whose time was over at the gate ends as one that is over here",
    outcome: TIME_OVER,
    state: { kind: "unsafe", timeLeft: 13 },
    next: "fail 504",
  },
  {
    name:
      "a read whose time was over at the gate ends as one that is over here",
    outcome: TIME_OVER,
    state: { timeLeft: 13 },
    next: "fail 504",
  },
  {
    name: "no repeat starts when it could not end in time",
    outcome: BROKEN,
    state: { timeLeft: 30 },
    next: "fail 502",
  },
];

describe("what follows an outcome at a gate", () => {
  for (const { name, outcome, state, budget = true, next } of CASES) {
    test(name, () => {
      const step = decideNextStep(
        outcome,
        { ...STATE, ...state },
        () => budget,
      );
      const text = step.type === "fail"
        ? `fail ${step.status}`
        : step.type === "refuse"
        ? `refuse ${step.retryAfter}`
        : step.type;
      assert.equal(text, next);
    });
  }
});

describe("the delay of a second send", () => {
  const cases = [
    { name: "twice the usual time", usual: 90, objectiveIn: 400, delay: 180 },
    {
      name: "earlier when the objective is near",
      usual: 90,
      objectiveIn: 250,
      delay: 142,
    },
    {
      name: "never before most calls have ended",
      usual: 90,
      objectiveIn: 100,
      delay: 126,
    },
    {
      name: "not at once for short calls",
      usual: 2,
      objectiveIn: 100,
      delay: 20,
    },
    {
      name: "later at an instance that is slower than others",
      usual: 90,
      relativeServiceTime: 1.5,
      objectiveIn: 600,
      delay: 270,
    },
    {
      name: "not much later at an instance that has a fault",
      usual: 90,
      relativeServiceTime: 8,
      objectiveIn: 600,
      delay: 360,
    },
    {
      name: "later while answers take long on their way",
      usual: 36,
      response: 100,
      objectiveIn: 400,
      delay: 200,
    },
  ];
  for (
    const {
      name,
      usual,
      response = 0,
      relativeServiceTime = 1,
      objectiveIn,
      delay,
    } of cases
  ) {
    test(name, () => {
      const chosen = secondSendDelay({
        usualMilliseconds: usual,
        responseMilliseconds: response,
        relativeServiceTime,
        objectiveIn,
      });
      assert.equal(Math.round(chosen), delay);
    });
  }
});

test("each part of a split gets its weight of the calls", () => {
  const random = createRandomSource(3);
  const targets = [
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
    { service: "c", weight: 0 },
  ];
  const counts = new Map<string, number>();
  for (let index = 0; index < 10_000; index += 1) {
    const service = chooseService({ targets }, random);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  assert.ok(Math.abs(counts.get("b")! / 10_000 - 0.1) < 0.015);
  assert.equal(counts.get("c"), undefined);
});
