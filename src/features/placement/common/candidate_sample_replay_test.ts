import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { drawWorkSpread } from "../../../base/common/work_spread.ts";
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
const USUAL_MS = 380;
const WORK_DEVIATION = 0.6;
const OBJECTIVE_MS = 1_100;
const DEADLINE_MS = 2_500;
/** How often each gate tells its load to all; an answer tells it to its caller. */
const NEWS_INTERVAL_MS = 4_000;
const LASTS_MS = 10_000;
/** The weight of the newest call in the relativeServiceTime that a gate tells. */
const NEWEST_WEIGHT = 0.05;

interface Replay {
  readonly waited: number;
  readonly inObjective: number;
  readonly otherDomain: number;
  readonly p95: number;
}

function domainOf(index: number): string {
  return `domain-${index % DOMAINS}`;
}

function paceOf(index: number): number {
  return Math.floor(index / DOMAINS) % 3 === 2 ? 1.6 : 0.7;
}

function replay(rule: "drawn" | "all", perSecond: number): Replay {
  const clock = new VirtualClock();
  const random = createRandomSource(3);
  const running = Array.from({ length: INSTANCES }, () => 0);
  const queues: (() => void)[][] = running.map(() => []);
  const paces = running.map(() => 1);
  const news = (index: number) => ({
    occupied: running[index] + queues[index].length,
    relativeServiceTime: paces[index],
  });
  const told = Array.from(
    { length: CALLERS },
    () => running.map((_, index) => news(index)),
  );
  const outstanding = told.map((row) => row.map(() => 0));
  const durations: number[] = [];
  let calls = 0;
  let waited = 0;
  let otherDomain = 0;

  running.forEach((_, index) => {
    const tell = () => {
      told.forEach((row) => row[index] = news(index));
      clock.schedule(NEWS_INTERVAL_MS, tell);
    };
    clock.schedule(random.nextFraction() * NEWS_INTERVAL_MS, tell);
  });

  function describe(caller: number, index: number): GateCandidate {
    const { occupied, relativeServiceTime } = told[caller][index];
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
      isSilent: false,
      hostDelay: 0,
    };
  }

  function choose(caller: number): number {
    const place = {
      ownHost: String(caller),
      ownFailureDomain: domainOf(caller),
    };
    const all = running.map((_, index) => describe(caller, index));
    const placed = chooseGate(
      rule === "drawn" ? sampleCandidates(all, place, random) : all,
      {
        ...place,
        usualMilliseconds: USUAL_MS,
        objectiveMilliseconds: OBJECTIVE_MS,
        relayedBytes: 5_000,
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
    otherDomain += domainOf(index) === domainOf(caller) ? 0 : 1;
    outstanding[caller][index] += 1;
    const start = () => {
      const spread = drawWorkSpread(random, WORK_DEVIATION);
      running[index] += 1;
      clock.schedule(USUAL_MS * paceOf(index) * spread, () => {
        running[index] -= 1;
        paces[index] += NEWEST_WEIGHT * (paceOf(index) * spread - paces[index]);
        outstanding[caller][index] -= 1;
        told[caller][index] = news(index);
        durations.push(clock.now() - arrivedAt);
        queues[index].shift()?.();
      });
    };
    const load: GateLoad = {
      running: running[index],
      limit: SLOTS,
      ahead: queues[index].length,
      meanMilliseconds: USUAL_MS * paceOf(index),
    };
    const decision = decideAdmission(
      {
        identity: "",
        isNested: false,
        rank: 1,
        objectiveAt: arrivedAt + OBJECTIVE_MS,
        deadlineAt: arrivedAt + DEADLINE_MS,
        expectedMilliseconds: USUAL_MS * paceOf(index),
      },
      load,
      arrivedAt,
    );
    if (decision.type === "start") {
      start();
      return;
    }
    waited += 1;
    queues[index].push(start);
  }

  for (let at = 0; at < LASTS_MS;) {
    at -= Math.log(1 - random.nextFraction()) * 1_000 / perSecond;
    clock.schedule(at, arrive);
  }
  clock.advance(3 * LASTS_MS);
  durations.sort((left, right) => left - right);
  return {
    waited: waited / calls,
    inObjective: durations.filter((duration) => duration <= OBJECTIVE_MS)
      .length / calls,
    otherDomain: otherDomain / calls,
    p95: Math.round(durations[Math.floor(0.95 * durations.length)]),
  };
}

describe("many daemons choose among many instances by news that is seconds old", () => {
  const cases = [
    { name: "two fifths of the capacity", perSecond: 722, factor: 2 },
    { name: "half of the capacity", perSecond: 1_000, factor: 1.5 },
  ];
  for (const { name, perSecond, factor } of cases) {
    test(`${name}: fewer calls wait when each chooses among a few`, (context) => {
      const drawn = replay("drawn", perSecond);
      const all = replay("all", perSecond);
      context.diagnostic(`drawn ${JSON.stringify(drawn)}`);
      context.diagnostic(`all ${JSON.stringify(all)}`);
      assert.ok(drawn.waited * factor < all.waited);
      assert.ok(drawn.p95 < all.p95);
      assert.ok(drawn.inObjective >= all.inObjective);
      assert.ok(drawn.otherDomain < 0.05);
    });
  }
});

describe("what is drawn", () => {
  const own = { ownHost: "own", ownFailureDomain: "near" };
  const hosts = (count: number, failureDomain: string) =>
    Array.from(
      { length: count },
      (_, index) => ({ host: `${failureDomain}-${index}`, failureDomain }),
    );
  const cases = [
    { name: "a small service is taken whole", near: 4, far: 11, drawn: 16 },
    { name: "a few near and a few far gates", near: 13, far: 39, drawn: 9 },
    { name: "far gates only where no others are", near: 0, far: 39, drawn: 5 },
  ];
  for (const { name, near, far, drawn } of cases) {
    test(name, () => {
      const candidates = [
        { host: "own", failureDomain: "near" },
        ...hosts(near, "near"),
        ...hosts(far, "far"),
      ];
      const sample = sampleCandidates(candidates, own, createRandomSource(1));
      assert.equal(new Set(sample).size, drawn);
      assert.ok(sample.some(({ host }) => host === "own"));
    });
  }
});
