import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { createFailureRate } from "../../gate/common/failure_rate.ts";
import { chooseGate, type GateCandidate } from "./gate_choice.ts";

/** Nine instances of unequal speed in four failure domains, with delayed load reports. */
const RELATIVE_SERVICE_TIMES = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6];
const SLOTS = 14;
const MEAN_SERVICE_MS = 90;
/** Each response reports the load of the gate to its caller; all callers get it at this interval as well. */
const STATUS_INTERVAL_MS = 500;
const OBJECTIVE_MS = 300;
const RESPONSE_BYTES = 5_000;

interface SimulationResult {
  readonly shareWithinObjective: number;
  readonly meanMilliseconds: number;
  readonly crossDomainShare: number;
  readonly remoteHostShare: number;
}

function simulate(
  rule: "lowest-cost" | "nearest-least-loaded",
  { perSecond, seed }: { readonly perSecond: number; readonly seed: number },
): SimulationResult {
  const clock = new VirtualClock();
  const random = createRandomSource(seed);
  const running = RELATIVE_SERVICE_TIMES.map(() => 0);
  const waiting: (() => void)[][] = RELATIVE_SERVICE_TIMES.map(() => []);
  const outstanding = RELATIVE_SERVICE_TIMES.map(() =>
    RELATIVE_SERVICE_TIMES.map(() => 0)
  );
  const knownLoads = RELATIVE_SERVICE_TIMES.map(() =>
    RELATIVE_SERVICE_TIMES.map(() => 0)
  );
  let calls = 0;
  let withinObjective = 0;
  let total = 0;
  let crossDomain = 0;
  let remoteHost = 0;
  const updateKnownLoad = (caller: number, index: number) => {
    knownLoads[caller][index] = running[index] + waiting[index].length;
  };
  clock.repeat(
    STATUS_INTERVAL_MS,
    () =>
      knownLoads.forEach((loads, caller) =>
        loads.forEach((_, index) => updateKnownLoad(caller, index))
      ),
  );

  function candidatesFor(caller: number): GateCandidate[] {
    return RELATIVE_SERVICE_TIMES.map((relativeServiceTime, index) => ({
      host: String(index),
      failureDomain: `domain-${index % 4}`,
      load: {
        running: Math.min(knownLoads[caller][index], SLOTS),
        waiting: Math.max(0, knownLoads[caller][index] - SLOTS),
        limit: SLOTS,
        relativeServiceTime,
        failureRate: 0,
      },
      outstanding: outstanding[caller][index],
      isCold: false,
      isUnresponsive: false,
      hostDelay: 0,
    }));
  }

  function choose(caller: number): number {
    const candidates = candidatesFor(caller);
    const ownFailureDomain = `domain-${caller % 4}`;
    if (rule === "lowest-cost") {
      const placed = chooseGate(candidates, {
        meanServiceMilliseconds: MEAN_SERVICE_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        transferredBytes: RESPONSE_BYTES,
        ownHost: String(caller),
        ownFailureDomain,
      }, random);
      return Number(placed!.candidate.host);
    }
    const busy = ({ load, outstanding }: GateCandidate) =>
      Math.max(load.running + load.waiting, outstanding);
    const sameDomain = candidates.filter((candidate) =>
      candidate.failureDomain === ownFailureDomain && busy(candidate) < SLOTS
    );
    const eligible = sameDomain.length > 0 ? sameDomain : candidates;
    return Number(
      eligible.reduce((left, right) => busy(right) < busy(left) ? right : left)
        .host,
    );
  }

  function arrive(): void {
    const startedAt = clock.now();
    const caller = random.nextInteger(RELATIVE_SERVICE_TIMES.length);
    const chosen = choose(caller);
    crossDomain += chosen % 4 === caller % 4 ? 0 : 1;
    remoteHost += chosen === caller ? 0 : 1;
    outstanding[caller][chosen] += 1;
    const start = () => {
      running[chosen] += 1;
      const work = MEAN_SERVICE_MS * RELATIVE_SERVICE_TIMES[chosen] *
        (0.5 + random.nextFraction());
      clock.schedule(work, () => {
        running[chosen] -= 1;
        outstanding[caller][chosen] -= 1;
        updateKnownLoad(caller, chosen);
        calls += 1;
        total += clock.now() - startedAt;
        withinObjective += clock.now() - startedAt <= OBJECTIVE_MS ? 1 : 0;
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
    shareWithinObjective: withinObjective / calls,
    meanMilliseconds: total / calls,
    crossDomainShare: crossDomain / calls,
    remoteHostShare: remoteHost / calls,
  };
}

describe("instances that differ in speed, with delayed load reports", () => {
  const cases = [
    { name: "a third of capacity", perSecond: 500 },
    { name: "three quarters of capacity", perSecond: 1_100 },
  ];
  for (const { name, perSecond } of cases) {
    test(`${name}: the lowest expected cost beats the nearest least loaded gate`, (context) => {
      const chosen = simulate("lowest-cost", { perSecond, seed: 7 });
      const simple = simulate("nearest-least-loaded", { perSecond, seed: 7 });
      context.diagnostic(`lowest cost ${JSON.stringify(chosen)}`);
      context.diagnostic(`nearest least loaded ${JSON.stringify(simple)}`);
      assert.ok(chosen.shareWithinObjective >= simple.shareWithinObjective);
      assert.ok(chosen.meanMilliseconds < simple.meanMilliseconds);
      assert.ok(chosen.remoteHostShare < simple.remoteHostShare);
    });
  }
});

describe("calls whose own failure domain is busier than another one", () => {
  const cases = [
    {
      name: "a 60 kB upload stays in its domain",
      relayedBytes: 60_000,
      chosen: "near",
    },
    {
      name: "a 400-byte lookup leaves its domain",
      relayedBytes: 400,
      chosen: "far",
    },
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
        isUnresponsive: false,
        hostDelay: 0,
      });
      const placed = chooseGate([candidate("near", 18), candidate("far", 2)], {
        meanServiceMilliseconds: MEAN_SERVICE_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        transferredBytes: relayedBytes,
        ownHost: "own",
        ownFailureDomain: "near",
      }, createRandomSource(1));
      assert.equal(placed?.candidate.host, chosen);
    });
  }
});

describe("exploration of an instance that has the highest known cost", () => {
  const cases = [
    {
      name: "a slow instance is tried",
      relativeServiceTime: 5,
      least: 1,
      most: 40,
    },
    {
      name: "a highly utilized instance is not tried",
      relativeServiceTime: 5,
      running: 13,
      least: 0,
      most: 0,
    },
    {
      name: "a cold instance is not tried",
      relativeServiceTime: 5,
      isCold: true,
      least: 0,
      most: 0,
    },
    {
      name: "an unresponsive instance is not tried",
      relativeServiceTime: 5,
      isUnresponsive: true,
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
      isUnresponsive = false,
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
          isUnresponsive: false,
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
          isUnresponsive,
          hostDelay: 0,
        },
      ];
      let tried = 0;
      for (let call = 0; call < 1_000; call += 1) {
        const placed = chooseGate(candidates, {
          meanServiceMilliseconds: MEAN_SERVICE_MS,
          objectiveMilliseconds: OBJECTIVE_MS,
          transferredBytes: RESPONSE_BYTES,
          ownHost: "own",
          ownFailureDomain: "east",
        }, random);
        tried += placed?.candidate.host === "other" ? 1 : 0;
      }
      assert.ok(tried >= least && tried <= most, `${tried} of 1000 calls`);
    });
  }
});

describe("a partitioned failure domain whose links do not count as lost yet", () => {
  const load = (running: number) => ({
    running,
    waiting: 0,
    limit: SLOTS,
    relativeServiceTime: 1,
    failureRate: 0,
  });
  const cases = [
    {
      name: "a busy responsive host is preferred to an idle unresponsive one",
      hosts: { near: { unresponsive: true, running: 0 }, far: { running: 13 } },
      chosen: "far",
    },
    {
      name: "an unresponsive host is chosen where there is no other",
      hosts: { near: { unresponsive: true, running: 0 } },
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
        isUnresponsive: "unresponsive" in state && state.unresponsive,
        hostDelay: 0,
      }));
      for (let call = 0; call < 500; call += 1) {
        const placed = chooseGate(candidates, {
          meanServiceMilliseconds: MEAN_SERVICE_MS,
          objectiveMilliseconds: OBJECTIVE_MS,
          transferredBytes: RESPONSE_BYTES,
          ownHost: "own",
          ownFailureDomain: "near",
        }, random);
        assert.equal(placed?.candidate.host, chosen);
      }
    });
  }
});

describe("an instance that returns errors immediately while its health check passes", () => {
  const FAILING = 4;
  const CALLS_PER_SECOND = 500;

  /** Share of calls that fail, with or without failure rates in the load reports. */
  function simulateFailures(failureRate: number, isReported: boolean): number {
    const clock = new VirtualClock();
    const random = createRandomSource(9);
    const running = RELATIVE_SERVICE_TIMES.map(() => 0);
    const failures = RELATIVE_SERVICE_TIMES.map(createFailureRate);
    let calls = 0;
    let failed = 0;

    function arrive(): void {
      const caller = random.nextInteger(RELATIVE_SERVICE_TIMES.length);
      const placed = chooseGate(
        RELATIVE_SERVICE_TIMES.map((relativeServiceTime, index) => ({
          host: String(index),
          failureDomain: `domain-${index % 4}`,
          load: {
            running: running[index],
            waiting: 0,
            limit: SLOTS,
            relativeServiceTime,
            failureRate: isReported ? failures[index].current(clock.now()) : 0,
          },
          outstanding: 0,
          isCold: false,
          isUnresponsive: false,
          hostDelay: 0,
        })),
        {
          meanServiceMilliseconds: MEAN_SERVICE_MS,
          objectiveMilliseconds: OBJECTIVE_MS,
          transferredBytes: RESPONSE_BYTES,
          ownHost: String(caller),
          ownFailureDomain: `domain-${caller % 4}`,
        },
        random,
      );
      const chosen = Number(placed!.candidate.host);
      const isFailure = chosen === FAILING &&
        random.nextFraction() < failureRate;
      calls += 1;
      failed += isFailure ? 1 : 0;
      running[chosen] += 1;
      clock.schedule(
        isFailure ? 1 : MEAN_SERVICE_MS * RELATIVE_SERVICE_TIMES[chosen],
        () => {
          running[chosen] -= 1;
          failures[chosen].record(isFailure, clock.now());
        },
      );
    }

    for (let at = 0; at < 10_000;) {
      at += random.nextFraction() * 2_000 / CALLS_PER_SECOND;
      clock.schedule(at, arrive);
    }
    clock.advance(11_000);
    return failed / calls;
  }

  const cases = [
    { name: "all of its calls", failureRate: 1 },
    { name: "slightly less than half of its calls", failureRate: 0.45 },
  ];
  for (const { name, failureRate } of cases) {
    test(`${name}: less than a third as many calls fail when its failure rate is reported`, (context) => {
      const reported = simulateFailures(failureRate, true);
      const unreported = simulateFailures(failureRate, false);
      context.diagnostic(`reported ${reported}, not reported ${unreported}`);
      assert.ok(reported < unreported / 3);
    });
  }
});

describe("an instance counts as faulty", () => {
  const cases = [
    {
      name: "after one failure among successful calls",
      outcomes: "....x....",
      isZero: true,
    },
    {
      name: "after failures of half of the calls",
      outcomes: "x.x.x.x.x.x.",
      isZero: false,
    },
    {
      name: "after failures 15 s ago",
      outcomes: "xxxxx",
      waits: 15_000,
      isZero: true,
    },
  ];
  for (const { name, outcomes, waits = 0, isZero } of cases) {
    test(`${name}: ${isZero ? "no" : "yes"}`, () => {
      const failureRate = createFailureRate();
      [...outcomes].forEach((outcome, at) =>
        failureRate.record(outcome === "x", at)
      );
      assert.equal(failureRate.current(outcomes.length + waits) === 0, isZero);
    });
  }
});
