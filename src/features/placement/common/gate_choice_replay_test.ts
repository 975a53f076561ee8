import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createFailureRate } from "../../gate/common/failure_rate.ts";
import { chooseGate, type GateCandidate } from "./gate_choice.ts";

/** Nine instances of unequal speed in four failure domains, seen through news that is late. */
const PACES = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6];
const SLOTS = 14;
const USUAL_MS = 90;
/** Each answer tells its caller the load of the gate; all are told at this interval besides. */
const NEWS_INTERVAL_MS = 500;
const OBJECTIVE_MS = 300;
const ANSWER_BYTES = 5_000;

interface Replay {
  readonly inObjective: number;
  readonly meanMilliseconds: number;
  readonly otherDomain: number;
  readonly otherHost: number;
}

function replay(
  rule: "expected-end" | "nearest-least-busy",
  { perSecond, seed }: { readonly perSecond: number; readonly seed: number },
): Replay {
  const clock = new VirtualClock();
  const random = createRandomSource(seed);
  const running = PACES.map(() => 0);
  const waiting: (() => void)[][] = PACES.map(() => []);
  const outstanding = PACES.map(() => PACES.map(() => 0));
  const told = PACES.map(() => PACES.map(() => 0));
  let calls = 0;
  let inObjective = 0;
  let total = 0;
  let otherDomain = 0;
  let otherHost = 0;
  const tell = (caller: number, index: number) => {
    told[caller][index] = running[index] + waiting[index].length;
  };
  clock.repeat(
    NEWS_INTERVAL_MS,
    () =>
      told.forEach((news, caller) =>
        news.forEach((_, index) => tell(caller, index))
      ),
  );

  function candidatesFor(caller: number): GateCandidate[] {
    return PACES.map((relativeServiceTime, index) => ({
      host: String(index),
      failureDomain: `domain-${index % 4}`,
      load: {
        running: Math.min(told[caller][index], SLOTS),
        waiting: Math.max(0, told[caller][index] - SLOTS),
        limit: SLOTS,
        relativeServiceTime,
        failureRate: 0,
      },
      outstanding: outstanding[caller][index],
      isCold: false,
      isSilent: false,
      hostDelay: 0,
    }));
  }

  function choose(caller: number): number {
    const candidates = candidatesFor(caller);
    const ownFailureDomain = `domain-${caller % 4}`;
    if (rule === "expected-end") {
      const placed = chooseGate(candidates, {
        usualMilliseconds: USUAL_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        relayedBytes: ANSWER_BYTES,
        ownHost: String(caller),
        ownFailureDomain,
      }, random);
      return Number(placed!.candidate.host);
    }
    const busy = ({ load, outstanding }: GateCandidate) =>
      Math.max(load.running + load.waiting, outstanding);
    const near = candidates.filter((candidate) =>
      candidate.failureDomain === ownFailureDomain && busy(candidate) < SLOTS
    );
    const open = near.length > 0 ? near : candidates;
    return Number(
      open.reduce((left, right) => busy(right) < busy(left) ? right : left)
        .host,
    );
  }

  function arrive(): void {
    const startedAt = clock.now();
    const caller = random.nextInteger(PACES.length);
    const chosen = choose(caller);
    otherDomain += chosen % 4 === caller % 4 ? 0 : 1;
    otherHost += chosen === caller ? 0 : 1;
    outstanding[caller][chosen] += 1;
    const start = () => {
      running[chosen] += 1;
      const work = USUAL_MS * PACES[chosen] * (0.5 + random.nextFraction());
      clock.schedule(work, () => {
        running[chosen] -= 1;
        outstanding[caller][chosen] -= 1;
        tell(caller, chosen);
        calls += 1;
        total += clock.now() - startedAt;
        inObjective += clock.now() - startedAt <= OBJECTIVE_MS ? 1 : 0;
        waiting[chosen].shift()?.();
      });
    };
    if (running[chosen] < SLOTS) {
      start();
    } else {
      waiting[chosen].push(start);
    }
  }

  let at = 0;
  while (at < 10_000) {
    at += random.nextFraction() * 2_000 / perSecond;
    clock.schedule(at, arrive);
  }
  clock.advance(15_000);
  return {
    inObjective: inObjective / calls,
    meanMilliseconds: total / calls,
    otherDomain: otherDomain / calls,
    otherHost: otherHost / calls,
  };
}

describe("instances that differ in speed, seen through late news", () => {
  const cases = [
    { name: "a third of the capacity", perSecond: 500 },
    { name: "three quarters of the capacity", perSecond: 1_100 },
  ];
  for (const { name, perSecond } of cases) {
    test(`${name}: choosing by expected end beats choosing the nearest least busy`, (context) => {
      const chosen = replay("expected-end", { perSecond, seed: 7 });
      const simple = replay("nearest-least-busy", { perSecond, seed: 7 });
      context.diagnostic(`expected end ${JSON.stringify(chosen)}`);
      context.diagnostic(`nearest least busy ${JSON.stringify(simple)}`);
      assert.ok(chosen.inObjective >= simple.inObjective);
      assert.ok(chosen.meanMilliseconds < simple.meanMilliseconds);
      assert.ok(chosen.otherHost < simple.otherHost);
    });
  }
});

describe("an upload and a lookup whose own failure domain is busier than another one", () => {
  const cases = [
    { name: "an upload of 60 kB stays", relayedBytes: 60_000, chosen: "near" },
    { name: "a lookup of 400 bytes leaves", relayedBytes: 400, chosen: "far" },
  ];
  for (const { name, relayedBytes, chosen } of cases) {
    test(name, () => {
      const candidate = (host: string, running: number): GateCandidate => ({
        host,
        failureDomain: host,
        load: {
          running,
          waiting: 0,
          limit: SLOTS,
          relativeServiceTime: 1,
          failureRate: 0,
        },
        outstanding: 0,
        isCold: false,
        isSilent: false,
        hostDelay: 0,
      });
      const placed = chooseGate([candidate("near", 18), candidate("far", 2)], {
        usualMilliseconds: USUAL_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        relayedBytes,
        ownHost: "own",
        ownFailureDomain: "near",
      }, createRandomSource(1));
      assert.equal(placed?.candidate.host, chosen);
    });
  }
});

describe("instances that would never be chosen by what is known of them", () => {
  const cases = [
    {
      name: "one that was slow is tried",
      relativeServiceTime: 5,
      least: 1,
      most: 40,
    },
    {
      name: "a crowded one is not",
      relativeServiceTime: 5,
      running: 13,
      least: 0,
      most: 0,
    },
    {
      name: "nor a cold one",
      relativeServiceTime: 5,
      isCold: true,
      least: 0,
      most: 0,
    },
    {
      name: "nor a silent one",
      relativeServiceTime: 5,
      isSilent: true,
      least: 0,
      most: 0,
    },
  ];
  for (
    const {
      name,
      relativeServiceTime,
      running = 0,
      isCold = false,
      isSilent = false,
      least,
      most,
    } of cases
  ) {
    test(name, () => {
      const random = createRandomSource(5);
      const common = { failureDomain: "east", outstanding: 0 };
      const candidates: readonly GateCandidate[] = [
        {
          ...common,
          host: "own",
          load: {
            running: 0,
            waiting: 0,
            limit: SLOTS,
            relativeServiceTime: 1,
            failureRate: 0,
          },
          isCold: false,
          isSilent: false,
          hostDelay: 0,
        },
        {
          ...common,
          host: "other",
          load: {
            running,
            waiting: 0,
            limit: SLOTS,
            relativeServiceTime,
            failureRate: 0,
          },
          isCold,
          isSilent,
          hostDelay: 0,
        },
      ];
      let tried = 0;
      for (let call = 0; call < 1_000; call += 1) {
        const placed = chooseGate(candidates, {
          usualMilliseconds: USUAL_MS,
          objectiveMilliseconds: OBJECTIVE_MS,
          relayedBytes: ANSWER_BYTES,
          ownHost: "own",
          ownFailureDomain: "east",
        }, random);
        tried += placed?.candidate.host === "other" ? 1 : 0;
      }
      assert.ok(tried >= least && tried <= most, `${tried} of 1000 calls`);
    });
  }
});

describe("a failure domain is cut off: its links are silent until they count as lost", () => {
  const load = (running: number) => ({
    running,
    waiting: 0,
    limit: SLOTS,
    relativeServiceTime: 1,
    failureRate: 0,
  });
  const cases = [
    {
      name: "a busy host that answers is chosen before a silent idle one",
      hosts: { near: { silent: true, running: 0 }, far: { running: 13 } },
      chosen: "far",
    },
    {
      name: "a silent host is chosen where no other one is left",
      hosts: { near: { silent: true, running: 0 } },
      chosen: "near",
    },
  ] as const;
  for (const { name, hosts, chosen } of cases) {
    test(name, () => {
      const random = createRandomSource(3);
      const candidates = Object.entries(hosts).map(([host, state]) => ({
        host,
        failureDomain: host,
        load: load(state.running),
        outstanding: 0,
        isCold: false,
        isSilent: "silent" in state && state.silent,
        hostDelay: 0,
      }));
      for (let call = 0; call < 500; call += 1) {
        const placed = chooseGate(candidates, {
          usualMilliseconds: USUAL_MS,
          objectiveMilliseconds: OBJECTIVE_MS,
          relayedBytes: ANSWER_BYTES,
          ownHost: "own",
          ownFailureDomain: "near",
        }, random);
        assert.equal(placed?.candidate.host, chosen);
      }
    });
  }
});

describe("an instance that answers errors at once while its health check is good", () => {
  const FAILING = 4;
  const CALLS_PER_SECOND = 500;

  /** The part of the calls that fail, with and without the part of failures that gates tell. */
  function replayFailing(failurePart: number, isTold: boolean): number {
    const clock = new VirtualClock();
    const random = createRandomSource(9);
    const running = PACES.map(() => 0);
    const failures = PACES.map(createFailureRate);
    let calls = 0;
    let failed = 0;

    function arrive(): void {
      const caller = random.nextInteger(PACES.length);
      const placed = chooseGate(
        PACES.map((relativeServiceTime, index) => ({
          host: String(index),
          failureDomain: `domain-${index % 4}`,
          load: {
            running: running[index],
            waiting: 0,
            limit: SLOTS,
            relativeServiceTime,
            failureRate: isTold ? failures[index].current(clock.now()) : 0,
          },
          outstanding: 0,
          isCold: false,
          isSilent: false,
          hostDelay: 0,
        })),
        {
          usualMilliseconds: USUAL_MS,
          objectiveMilliseconds: OBJECTIVE_MS,
          relayedBytes: ANSWER_BYTES,
          ownHost: String(caller),
          ownFailureDomain: `domain-${caller % 4}`,
        },
        random,
      );
      const chosen = Number(placed!.candidate.host);
      const isFailure = chosen === FAILING &&
        random.nextFraction() < failurePart;
      calls += 1;
      failed += isFailure ? 1 : 0;
      running[chosen] += 1;
      clock.schedule(isFailure ? 1 : USUAL_MS * PACES[chosen], () => {
        running[chosen] -= 1;
        failures[chosen].record(isFailure, clock.now());
      });
    }

    for (let at = 0; at < 10_000;) {
      at += random.nextFraction() * 2_000 / CALLS_PER_SECOND;
      clock.schedule(at, arrive);
    }
    clock.advance(11_000);
    return failed / calls;
  }

  const cases = [
    { name: "all of its calls", failurePart: 1 },
    { name: "a bit less than half of them", failurePart: 0.45 },
  ];
  for (const { name, failurePart } of cases) {
    test(`${name}: a third as many calls fail when its failures are told`, (context) => {
      const told = replayFailing(failurePart, true);
      const untold = replayFailing(failurePart, false);
      context.diagnostic(`told ${told}, not told ${untold}`);
      assert.ok(told < untold / 3);
    });
  }
});

describe("what counts as a faulty instance", () => {
  const cases = [
    {
      name: "one failure among good calls",
      outcomes: "....x....",
      isZero: true,
    },
    { name: "half of the calls", outcomes: "x.x.x.x.x.x.", isZero: false },
    {
      name: "failures of long ago",
      outcomes: "xxxxx",
      waits: 15_000,
      isZero: true,
    },
  ];
  for (const { name, outcomes, waits = 0, isZero } of cases) {
    test(`${name}: ${isZero ? "no" : "yes"}`, () => {
      const part = createFailureRate();
      [...outcomes].forEach((outcome, at) => part.record(outcome === "x", at));
      assert.equal(part.current(outcomes.length + waits) === 0, isZero);
    });
  }
});
