import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import {
  DEADLINE_EXCEEDED_REASON,
  type GateOutcome,
} from "../../gate/common/gate_call.ts";
import {
  type CallState,
  decideNextStep,
  isCapacityRefusal,
  isFullForAll,
} from "./next_step.ts";
import { computeHedgeDelay } from "./hedge_delay.ts";
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
const CONNECTION_RESET: GateOutcome = { type: "failed", reason: "reset" };
const DEADLINE_PASSED: GateOutcome = {
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

const STATE: CallState = {
  kind: "safe",
  instancesReached: 1,
  fullGateCount: 0,
  maximumInstances: 2,
  mayHaveRun: true,
  hasCandidate: () => true,
  timeLeft: 500,
  meanServiceMilliseconds: 90,
};

interface Case {
  readonly name: string;
  readonly outcome: GateOutcome;
  readonly state?: Partial<CallState>;
  readonly budget?: boolean;
  readonly next: string;
}

const CASES: readonly Case[] = [
  { name: "an answer is delivered", outcome: ANSWER, next: "deliver" },
  {
    name: "an answer is delivered even after the deadline",
    outcome: ANSWER,
    state: { timeLeft: -5 },
    next: "deliver",
  },
  {
    name: "a failed read is retried at another instance",
    outcome: FAILURE,
    next: "ask-next",
  },
  {
    name:
      "a read that failed because its nested call was refused is not retried",
    outcome: { ...FAILURE, wasNestedRefused: true },
    next: "deliver",
  },
  {
    name:
      "without retry budget the failure response of the instance is delivered",
    outcome: FAILURE,
    budget: false,
    next: "deliver",
  },
  {
    name: "a write that may have run is not retried",
    outcome: CONNECTION_RESET,
    state: { kind: "unsafe" },
    next: "fail 502",
  },
  {
    name: "an upload that may have run is not retried",
    outcome: CONNECTION_RESET,
    state: { kind: "upload" },
    next: "fail 502",
  },
  {
    name: "the maximum instances of a route are not exceeded",
    outcome: CONNECTION_RESET,
    state: { instancesReached: 2 },
    next: "fail 502",
  },
  {
    name:
      "after a full gate the next one is tried without using the retry budget",
    outcome: GATE_FULL,
    state: { kind: "unsafe", mayHaveRun: false, instancesReached: 0 },
    budget: false,
    next: "ask-next",
  },
  {
    name: "after two full gates a third one is tried",
    outcome: GATE_FULL,
    state: { mayHaveRun: false, instancesReached: 0, fullGateCount: 2 },
    next: "ask-next",
  },
  {
    name: "after three full gates no other one is tried",
    outcome: GATE_FULL,
    state: { mayHaveRun: false, instancesReached: 0, fullGateCount: 3 },
    next: "refuse 40",
  },
  {
    name: "a nested call is tried at a fourth gate where accounts share them",
    outcome: GATE_FULL,
    state: {
      mayHaveRun: false,
      instancesReached: 0,
      fullGateCount: 3,
      protectsParent: true,
    },
    next: "ask-next",
  },
  {
    name: "after five full gates a nested call is tried at no other one",
    outcome: GATE_FULL,
    state: {
      mayHaveRun: false,
      instancesReached: 0,
      fullGateCount: 5,
      protectsParent: true,
    },
    next: "refuse 40",
  },
  {
    name: "a call whose nested calls are refused is tried at no other gate",
    outcome: { ...GATE_FULL, reason: "nested-refused" },
    state: { mayHaveRun: false, instancesReached: 0 },
    next: "refuse 40",
  },
  {
    name: "a write that has not run is refused with a retry-after time",
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
    name: "a write that an instance refused is retried within the retry budget",
    outcome: INSTANCE_FULL,
    state: { kind: "unsafe", mayHaveRun: false },
    next: "ask-next",
  },
  {
    name: "a write that an instance refused is refused without retry budget",
    outcome: INSTANCE_FULL,
    state: { kind: "unsafe", mayHaveRun: false },
    budget: false,
    next: "refuse 40",
  },
  {
    name: "a write whose deadline passed at the gate ends with 504",
    outcome: DEADLINE_PASSED,
    state: { kind: "unsafe", timeLeft: 13 },
    next: "fail 504",
  },
  {
    name: "a read whose deadline passed at the gate ends with 504",
    outcome: DEADLINE_PASSED,
    state: { timeLeft: 13 },
    next: "fail 504",
  },
  {
    name: "no retry starts if it could not complete in time",
    outcome: CONNECTION_RESET,
    state: { timeLeft: 30 },
    next: "fail 502",
  },
];

describe("the next step after an outcome at a gate", () => {
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

describe("a gate that has refused a call", () => {
  const cases = [
    { reason: "full", isCapacity: true, isForAll: true },
    { reason: "hopeless", isCapacity: true, isForAll: true },
    { reason: "above-share", isCapacity: true, isForAll: false },
    { reason: "nested-refused", isCapacity: false, isForAll: false },
    { reason: "leaving", isCapacity: false, isForAll: false },
  ] as const;
  for (const { reason, isCapacity, isForAll } of cases) {
    test(`as ${reason} is ${isForAll ? "" : "not "}left out for other accounts`, () => {
      const outcome: GateOutcome = { ...GATE_FULL, reason };
      assert.equal(isCapacityRefusal(outcome), isCapacity);
      assert.equal(isFullForAll(outcome), isForAll);
    });
  }
});

describe("the delay of a hedged request", () => {
  const cases = [
    {
      name: "twice the expected time",
      meanService: 90,
      objectiveIn: 400,
      delay: 180,
    },
    {
      name: "earlier when the objective is near",
      meanService: 90,
      objectiveIn: 250,
      delay: 142,
    },
    {
      name: "not before most calls have ended",
      meanService: 90,
      objectiveIn: 100,
      delay: 126,
    },
    {
      name: "at least 20 ms for short calls",
      meanService: 2,
      objectiveIn: 100,
      delay: 20,
    },
    {
      name: "later at an instance that is slower than others",
      meanService: 90,
      relativeServiceTime: 1.5,
      objectiveIn: 600,
      delay: 270,
    },
    {
      name: "limited at an instance that is faulty",
      meanService: 90,
      relativeServiceTime: 8,
      objectiveIn: 600,
      delay: 360,
    },
    {
      name: "later while the transit of responses is slow",
      meanService: 36,
      meanResponse: 100,
      objectiveIn: 400,
      delay: 200,
    },
  ];
  for (
    const {
      name,
      meanService,
      meanResponse = 0,
      relativeServiceTime = 1,
      objectiveIn,
      delay,
    } of cases
  ) {
    test(name, () => {
      const chosen = computeHedgeDelay({
        meanServiceMilliseconds: meanService,
        meanResponseMilliseconds: meanResponse,
        relativeServiceTime,
        objectiveIn,
      });
      assert.equal(Math.round(chosen), delay);
    });
  }
});

test("each target of a route gets calls in proportion to its weight", () => {
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
