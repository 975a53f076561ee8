import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { Move } from "../../../world/common/move.ts";
import {
  createEvidenceStore,
  type EvidenceStore,
  recordSample,
  rotateWindow,
} from "./evidence.ts";
import {
  evaluateOutcome,
  type MoveEvidence,
  planShare,
  planStep,
} from "./move_evaluation.ts";
import { LAST_STEP } from "./move_schedule.ts";

const MOVE: Move = {
  identity: "move-1",
  service: "booking",
  fromVersion: "1",
  toVersion: "2",
  startedAt: 0,
  deadlineAt: 300_000,
  outcome: "open",
  reason: "",
};
const HOSTS = ["h1", "h2", "h3"];
const OBSERVERS = ["o1", "o2", "o3"];
const ROUTES = ["availability", "reservation"];
/** A time after the cold start of every host. */
const WARM_AT: Milliseconds = 10_000;

interface Call {
  readonly isCandidate: boolean;
  readonly host: string;
  readonly observer: string;
  readonly route: string;
}

interface TestCallEffect {
  readonly failureRate?: number;
  readonly slowdown?: number;
  readonly load?: number;
  readonly result?: "shed" | "cancelled";
}

type EffectOf = (call: Call) => TestCallEffect;

function recordCalls(store: EvidenceStore, effectOf: EffectOf, options: {
  readonly candidateCalls: number;
  readonly now?: Milliseconds;
}): void {
  const random = createRandomSource(11);
  const pick = (names: readonly string[]) =>
    names[random.nextInteger(names.length)];
  for (let index = 0; index < options.candidateCalls * 10; index += 1) {
    const isCandidate = index % 10 === 0;
    const call = {
      isCandidate,
      host: (isCandidate ? "new-" : "old-") + pick(HOSTS),
      observer: pick(OBSERVERS),
      route: pick(ROUTES),
    };
    const effect = effectOf(call);
    const isFailed = random.nextFraction() < (effect.failureRate ?? 0);
    recordSample(store, {
      service: "booking",
      version: isCandidate ? "2" : "1",
      route: call.route,
      host: call.host,
      result: effect.result ?? (isFailed ? "failure" : "success"),
      durationMilliseconds: (60 + 80 * random.nextFraction()) *
        (effect.slowdown ?? 1),
      load: effect.load ?? 0.5,
    }, {
      side: isCandidate ? "candidate" : "stable",
      observer: {
        process: { host: call.observer, startedAt: 0 },
        failureDomain: call.observer === "o3" ? "west" : "east",
        addresses: {
          address: "",
          proxyPort: 0,
          administrationPort: 0,
          linkPort: 0,
        },
      },
      now: options.now ?? WARM_AT,
    });
  }
}

function createWarmStore(): EvidenceStore {
  const store = createEvidenceStore();
  for (const host of HOSTS) {
    const use = { usedMilliseconds: WARM_AT, lastCallAt: 0 };
    store.hostUses.set(`old-${host}`, { ...use });
    store.hostUses.set(`new-${host}`, { ...use });
  }
  return store;
}

function evidenceOf(
  store: EvidenceStore,
  other: Partial<MoveEvidence> = {},
): MoveEvidence {
  return {
    store,
    step: 0,
    stepEnteredAt: 0,
    candidateHosts: HOSTS.length,
    reachableDomains: new Set(["east", "west"]),
    areAllDomainsReachable: true,
    hasGoodVerdict: false,
    ...other,
  };
}

const onCandidate = (effect: TestCallEffect): EffectOf => ({ isCandidate }) =>
  isCandidate ? effect : {};

test("a version is found bad if and only if it is worse than the replaced one", () => {
  const cases: readonly {
    readonly name: string;
    readonly effectOf: EffectOf;
    readonly expected: "bad" | "open";
    readonly evidence?: Partial<MoveEvidence>;
  }[] = [
    { name: "equal", effectOf: () => ({}), expected: "open" },
    {
      name: "fails",
      effectOf: onCandidate({ failureRate: 0.2 }),
      expected: "bad",
    },
    { name: "slow", effectOf: onCandidate({ slowdown: 2 }), expected: "bad" },
    {
      name: "slow, and therefore alone in its load class",
      effectOf: onCandidate({ slowdown: 2, load: 0.9 }),
      expected: "bad",
    },
    {
      name: "fails on one route",
      effectOf: ({ isCandidate, route }) => ({
        failureRate: isCandidate && route === "reservation" ? 0.3 : 0,
      }),
      expected: "bad",
    },
    {
      name: "as slow as the replaced version",
      effectOf: () => ({ slowdown: 5 }),
      expected: "open",
    },
    {
      name: "fails as often as the replaced version",
      effectOf: () => ({ failureRate: 0.2 }),
      expected: "open",
    },
    {
      name: "sheds load",
      effectOf: onCandidate({ result: "shed" }),
      expected: "open",
    },
    {
      name: "one instance host of three fails",
      effectOf: ({ host }) => ({ failureRate: host === "new-h1" ? 1 : 0 }),
      expected: "open",
    },
    {
      name: "the only instance host fails",
      effectOf: ({ host }) => ({ failureRate: host.startsWith("new") ? 1 : 0 }),
      expected: "bad",
    },
    {
      name: "one observer sees failures of the new version only",
      effectOf: ({ isCandidate, observer }) => ({
        failureRate: isCandidate && observer === "o1" ? 1 : 0,
      }),
      expected: "open",
    },
    {
      name: "one host and one observer are broken at the same time",
      effectOf: ({ host, observer }) => ({
        failureRate: host === "new-h1" ? 0.5 : observer === "o1" ? 0.3 : 0,
      }),
      expected: "open",
    },
  ];
  for (const { name, effectOf, expected, evidence } of cases) {
    const store = createWarmStore();
    recordCalls(store, effectOf, { candidateCalls: 600 });
    assert.equal(
      evaluateOutcome(MOVE, evidenceOf(store, evidence), 20_000),
      expected,
      name,
    );
  }
});

test("slow calls during a cold start do not count against a version, failures do", () => {
  const cases = [
    { effect: { slowdown: 5 }, expected: "open" },
    { effect: { failureRate: 0.5 }, expected: "bad" },
  ] as const;
  for (const { effect, expected } of cases) {
    const store = createWarmStore();
    recordCalls(store, () => ({}), { candidateCalls: 300 });
    HOSTS.forEach((host) => store.hostUses.delete(`new-${host}`));
    recordCalls(store, onCandidate(effect), {
      candidateCalls: 300,
      now: 15_000,
    });
    assert.equal(evaluateOutcome(MOVE, evidenceOf(store), 20_000), expected);
  }
});

test("a version that becomes bad late is found bad despite many earlier good calls", () => {
  const store = createWarmStore();
  recordCalls(store, () => ({}), { candidateCalls: 20_000 });
  rotateWindow(store);
  rotateWindow(store);
  recordCalls(store, onCandidate({ failureRate: 0.2 }), {
    candidateCalls: 600,
  });
  assert.equal(evaluateOutcome(MOVE, evidenceOf(store), 200_000), "bad");
});

test("a step needs time, enough comparable calls on each route, and no sign of a regression", () => {
  const due = 41_000;
  const cases = [
    {
      name: "sufficient",
      calls: 400,
      effectOf: () => ({}),
      now: due,
      step: 1,
      share: 0.05,
    },
    {
      name: "before it is due",
      calls: 400,
      effectOf: () => ({}),
      now: 30_000,
      step: 0,
      share: 0.02,
    },
    {
      name: "too few calls",
      calls: 60,
      effectOf: () => ({}),
      now: due,
      step: 0,
      share: 0.04,
    },
    {
      name: "at a lower load than the replaced version",
      calls: 400,
      effectOf: onCandidate({ load: 0.1 }),
      now: due,
      step: 0,
      share: 0.04,
    },
    {
      name: "faster and therefore at a lower load",
      calls: 400,
      effectOf: onCandidate({ load: 0.25, slowdown: 0.5 }),
      now: due,
      step: 1,
      share: 0.05,
    },
    {
      name: "a regression below the significance level of a verdict",
      calls: 250,
      effectOf: onCandidate({ failureRate: 0.2 }),
      now: due,
      step: 0,
      share: 0.02,
    },
  ] as const;
  for (const { name, calls, effectOf, now, step, share } of cases) {
    const store = createWarmStore();
    recordCalls(store, effectOf, { candidateCalls: calls });
    const evidence = evidenceOf(store);
    assert.equal(planStep(MOVE, evidence, now), step, name);
    assert.equal(planShare(MOVE, evidence, now), share, name);
    assert.equal(evaluateOutcome(MOVE, evidence, now), "open", name);
  }
});

test("a move does not advance on evidence from an unreachable failure domain", () => {
  const store = createWarmStore();
  recordCalls(store, () => ({}), { candidateCalls: 170 });
  const step = (domains: readonly string[]) =>
    planStep(
      MOVE,
      evidenceOf(store, { reachableDomains: new Set(domains) }),
      41_000,
    );
  assert.equal(step(["east", "west"]), 1);
  assert.equal(step(["west"]), 0);
});

test("a version is found good after its observation, and bad when the deadline is not or cannot be met", () => {
  const store = createWarmStore();
  recordCalls(store, () => ({}), { candidateCalls: 400 });
  const last = { step: LAST_STEP, stepEnteredAt: 240_000 };
  const short = { ...MOVE, deadlineAt: 20_000 };
  const cases = [
    {
      name: "observing",
      move: MOVE,
      evidence: last,
      now: 280_000,
      expected: "open",
    },
    {
      name: "observed",
      move: MOVE,
      evidence: last,
      now: 285_000,
      expected: "good",
    },
    {
      name: "a failure domain is unreachable and may have found it bad",
      move: MOVE,
      evidence: { ...last, areAllDomainsReachable: false },
      now: 285_000,
      expected: "open",
    },
    {
      name: "a failure domain is still unreachable near the deadline",
      move: MOVE,
      evidence: { ...last, areAllDomainsReachable: false },
      now: 295_000,
      expected: "good",
    },
    {
      name: "late",
      move: MOVE,
      evidence: { step: 3 },
      now: 302_000,
      expected: "bad",
    },
    {
      name: "late here, but found good elsewhere",
      move: MOVE,
      evidence: { step: 3, hasGoodVerdict: true },
      now: 302_000,
      expected: "open",
    },
    {
      name: "deadline too short for the steps",
      move: short,
      evidence: {},
      now: 0,
      expected: "bad",
    },
  ];
  for (const { name, move, evidence, now, expected } of cases) {
    assert.equal(
      evaluateOutcome(move, evidenceOf(store, evidence), now),
      expected,
      name,
    );
  }
});
