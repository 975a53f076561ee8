import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { drawServiceTimeFactor } from "../../../base/common/service_time_factor.ts";
import {
  decideAdmission,
  type GateLoad,
} from "../../gate/common/admission_decision.ts";
import { sampleCandidates } from "./candidate_sample.ts";
import { chooseGate, type GateCandidate } from "./gate_choice.ts";

/** 52 instances in four failure domains; two in three are fast. */
const INSTANCES = 52;
const CALLERS = 67;
const DOMAINS = 4;
const SLOTS = 13;
const MEAN_SERVICE_MS = 380;
const SERVICE_TIME_DEVIATION = 0.6;
const OBJECTIVE_MS = 1_100;
const DEADLINE_MS = 2_500;
/** Interval at which each gate reports its load to all callers; a response also reports it to its caller. */
const STATUS_INTERVAL_MS = 4_000;
const DURATION_MS = 10_000;
/** Weight of the newest call in the relative service time that a gate reports. */
const SMOOTHING_FACTOR = 0.05;

interface SimulationResult {
  readonly queuedShare: number;
  readonly shareWithinObjective: number;
  readonly crossDomainShare: number;
  readonly p95: number;
}

function domainOf(index: number): string {
  return `domain-${index % DOMAINS}`;
}

function relativeServiceTimeOf(index: number): number {
  return Math.floor(index / DOMAINS) % 3 === 2 ? 1.6 : 0.7;
}

function simulate(
  rule: "sampled" | "all",
  perSecond: number,
): SimulationResult {
  const clock = new VirtualClock();
  const random = createRandomSource(3);
  const running = Array.from({ length: INSTANCES }, () => 0);
  const queues: (() => void)[][] = running.map(() => []);
  const relativeServiceTimes = running.map(() => 1);
  const currentLoad = (index: number) => ({
    occupied: running[index] + queues[index].length,
    relativeServiceTime: relativeServiceTimes[index],
  });
  const knownLoads = Array.from(
    { length: CALLERS },
    () => running.map((_, index) => currentLoad(index)),
  );
  const outstanding = knownLoads.map((row) => row.map(() => 0));
  const durations: number[] = [];
  let calls = 0;
  let queued = 0;
  let crossDomain = 0;

  running.forEach((_, index) => {
    const broadcastLoad = () => {
      knownLoads.forEach((row) => row[index] = currentLoad(index));
      clock.schedule(STATUS_INTERVAL_MS, broadcastLoad);
    };
    clock.schedule(random.nextFraction() * STATUS_INTERVAL_MS, broadcastLoad);
  });

  function describe(caller: number, index: number): GateCandidate {
    const { occupied, relativeServiceTime } = knownLoads[caller][index];
    return {
      host: String(index),
      failureDomain: domainOf(index),
      load: {
        running: Math.min(SLOTS, occupied),
        waiting: Math.max(0, occupied - SLOTS),
        limit: SLOTS,
        relativeServiceTime,
        failureRate: 0,
      },
      outstanding: outstanding[caller][index],
      isCold: false,
      isUnresponsive: false,
      hostDelay: 0,
    };
  }

  function choose(caller: number): number {
    const origin = {
      ownHost: String(caller),
      ownFailureDomain: domainOf(caller),
    };
    const all = running.map((_, index) => describe(caller, index));
    const placed = chooseGate(
      rule === "sampled" ? sampleCandidates(all, origin, random) : all,
      {
        ...origin,
        meanServiceMilliseconds: MEAN_SERVICE_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        transferredBytes: 5_000,
      },
      random,
    );
    return Number(placed!.candidate.host);
  }

  function arrive(): void {
    const arrivedAt = clock.now();
    const caller = random.nextInteger(CALLERS);
    const index = choose(caller);
    calls += 1;
    crossDomain += domainOf(index) === domainOf(caller) ? 0 : 1;
    outstanding[caller][index] += 1;
    const start = () => {
      const spread = drawServiceTimeFactor(random, SERVICE_TIME_DEVIATION);
      running[index] += 1;
      clock.schedule(
        MEAN_SERVICE_MS * relativeServiceTimeOf(index) * spread,
        () => {
          running[index] -= 1;
          relativeServiceTimes[index] += SMOOTHING_FACTOR *
            (relativeServiceTimeOf(index) * spread -
              relativeServiceTimes[index]);
          outstanding[caller][index] -= 1;
          knownLoads[caller][index] = currentLoad(index);
          durations.push(clock.now() - arrivedAt);
          queues[index].shift()?.();
        },
      );
    };
    const load: GateLoad = {
      running: running[index],
      limit: SLOTS,
      ahead: queues[index].length,
      meanMilliseconds: MEAN_SERVICE_MS * relativeServiceTimeOf(index),
    };
    const decision = decideAdmission(
      {
        identity: "",
        isNested: false,
        rank: 1,
        objectiveAt: arrivedAt + OBJECTIVE_MS,
        deadlineAt: arrivedAt + DEADLINE_MS,
        expectedMilliseconds: MEAN_SERVICE_MS * relativeServiceTimeOf(index),
      },
      load,
      arrivedAt,
    );
    if (decision.type === "start") {
      start();
      return;
    }
    queued += 1;
    queues[index].push(start);
  }

  for (let at = 0; at < DURATION_MS;) {
    at -= Math.log(1 - random.nextFraction()) * 1_000 / perSecond;
    clock.schedule(at, arrive);
  }
  clock.advance(3 * DURATION_MS);
  durations.sort((left, right) => left - right);
  return {
    queuedShare: queued / calls,
    shareWithinObjective:
      durations.filter((duration) => duration <= OBJECTIVE_MS)
        .length / calls,
    crossDomainShare: crossDomain / calls,
    p95: Math.round(durations[Math.floor(0.95 * durations.length)]),
  };
}

describe("many daemons choose among many instances by load reports that are seconds old", () => {
  const cases = [
    { name: "two fifths of capacity", perSecond: 722, factor: 2 },
    { name: "half of capacity", perSecond: 1_000, factor: 1.5 },
  ];
  for (const { name, perSecond, factor } of cases) {
    test(`${name}: sampling a few candidates queues fewer calls`, (context) => {
      const sampled = simulate("sampled", perSecond);
      const all = simulate("all", perSecond);
      context.diagnostic(`sampled ${JSON.stringify(sampled)}`);
      context.diagnostic(`all ${JSON.stringify(all)}`);
      assert.ok(sampled.queuedShare * factor < all.queuedShare);
      assert.ok(sampled.p95 < all.p95);
      assert.ok(sampled.shareWithinObjective >= all.shareWithinObjective);
      assert.ok(sampled.crossDomainShare < 0.05);
    });
  }
});

describe("sampled candidates", () => {
  const own = { ownHost: "own", ownFailureDomain: "near" };
  const hosts = (count: number, failureDomain: string) =>
    Array.from(
      { length: count },
      (_, index) => ({ host: `${failureDomain}-${index}`, failureDomain }),
    );
  const cases = [
    {
      name: "a small service is not sampled",
      sameDomain: 4,
      otherDomains: 11,
      expectedSize: 16,
    },
    {
      name: "a few gates of the own domain and a few of the others",
      sameDomain: 13,
      otherDomains: 39,
      expectedSize: 9,
    },
    {
      name: "gates of other domains only where the own domain has no others",
      sameDomain: 0,
      otherDomains: 39,
      expectedSize: 5,
    },
  ];
  for (const { name, sameDomain, otherDomains, expectedSize } of cases) {
    test(name, () => {
      const candidates = [
        { host: "own", failureDomain: "near" },
        ...hosts(sameDomain, "near"),
        ...hosts(otherDomains, "far"),
      ];
      const sample = sampleCandidates(candidates, own, createRandomSource(1));
      assert.equal(new Set(sample).size, expectedSize);
      assert.ok(sample.some(({ host }) => host === "own"));
    });
  }
});
