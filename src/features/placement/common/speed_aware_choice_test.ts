import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { GateCandidate } from "./gate_choice.ts";
import { estimateOccupied, summarizeDomains } from "./room_of_domains.ts";
import { chooseGateBySpeed, knowsSpeeds } from "./speed_aware_choice.ts";

function createCandidate(
  host: string,
  properties: Partial<GateCandidate> = {},
): GateCandidate {
  return {
    host,
    failureDomain: "near",
    load: {
      running: 4,
      waiting: 0,
      limit: 13,
      relativeServiceTime: 1,
      failureRate: 0,
    },
    currentServiceTime: 1,
    outstanding: 0,
    isCold: false,
    isUnresponsive: false,
    hostDelay: 0,
    ...properties,
  };
}

function countChoices(
  candidates: readonly GateCandidate[],
  meanServiceMilliseconds: number,
): ReadonlyMap<string, number> {
  const random = createRandomSource(1);
  const counts = new Map<string, number>();
  for (let index = 0; index < 1_000; index += 1) {
    const { host } = chooseGateBySpeed(candidates, {
      ownHost: "own",
      ownFailureDomain: "near",
      meanServiceMilliseconds,
      objectiveMilliseconds: 3 * meanServiceMilliseconds,
      transferredBytes: 5_000,
    }, { random, utilization: summarizeDomains(candidates) })!.candidate;
    counts.set(host, (counts.get(host) ?? 0) + 1);
  }
  return counts;
}

const IDLE = createCandidate("").load;
const FULL = { ...IDLE, running: 13, waiting: 6 };

describe("the choice by momentary speed", () => {
  test("is off where no instance states a speed", () => {
    const silent = createCandidate("silent", { currentServiceTime: undefined });
    assert.equal(knowsSpeeds([silent]), false);
    assert.equal(knowsSpeeds([silent, createCandidate("a")]), true);
  });

  test("leaves a slowed host to one call in a hundred", () => {
    const counts = countChoices([
      createCandidate("a"),
      createCandidate("b"),
      createCandidate("slowed", { currentServiceTime: 2.5 }),
    ], 80);
    assert.ok((counts.get("slowed") ?? 0) <= 10);
  });

  // Guards against bytes that are spent for a faster instance though the call is in time without it.
  test("stays in the failure domain while it has room", () => {
    const counts = countChoices([
      createCandidate("a"),
      createCandidate("b"),
      createCandidate("faster", {
        failureDomain: "far",
        load: { ...createCandidate("").load, relativeServiceTime: 0.5 },
      }),
    ], 300);
    assert.equal(counts.get("faster"), undefined);
  });

  // Guards against bytes that are spent for a difference within the error of the estimates.
  test("does not leave the failure domain for a small gain", () => {
    const counts = countChoices([
      createCandidate("a", { load: { ...IDLE, relativeServiceTime: 2 } }),
      createCandidate("b", {
        load: { ...IDLE, relativeServiceTime: 1.6 },
        failureDomain: "far",
      }),
    ], 300);
    assert.equal(counts.get("b"), undefined);
  });

  test("leaves a failure domain without room", () => {
    const counts = countChoices([
      createCandidate("a", { load: FULL }),
      createCandidate("b", { failureDomain: "far" }),
    ], 300);
    assert.ok(counts.get("b")! > 900);
  });

  // Guards against calls that stay with failing instances because these have room and answer in time.
  test("leaves a failure domain whose instances fail half of the calls", () => {
    const load = { ...IDLE, failureRate: 0.5 };
    const counts = countChoices([
      createCandidate("a", { load }),
      createCandidate("b", { load }),
      createCandidate("c", { failureDomain: "far" }),
    ], 300);
    assert.ok((counts.get("c") ?? 0) > 900, String(counts.get("c")));
  });

  // Guards against domains that exchange their calls when all are nearly full.
  test("does not take what another failure domain keeps for its own demand", () => {
    const nearlyFull = { ...createCandidate("").load, running: 12 };
    const counts = countChoices([
      createCandidate("a", { load: { ...nearlyFull, running: 15 } }),
      createCandidate("b", { load: nearlyFull, failureDomain: "far" }),
    ], 300);
    assert.equal(counts.get("b"), undefined);
  });

  // Guards against gates of a large service that are never sampled.
  test("reaches every gate of 150", () => {
    const counts = countChoices(
      Array.from(
        { length: 150 },
        (_, index) => createCandidate(String(index)),
      ),
      300,
    );
    assert.ok(counts.size > 140, String(counts.size));
  });

  // Guards against herding: calls that were sent since the report count.
  test("counts the calls that were offered since the report", () => {
    const counts = countChoices([
      createCandidate("a", { offeredSinceReport: 12 }),
      createCandidate("b"),
    ], 300);
    assert.ok(counts.get("b")! > 900);
  });

  for (const [state, ownLoad] of [["room", IDLE], ["no room", FULL]] as const) {
    test(`prints the time of a choice among 150 instances, own failure domain with ${state}`, (context) => {
      const random = createRandomSource(1);
      const candidates = Array.from(
        { length: 150 },
        (_, index) =>
          createCandidate(String(index), {
            failureDomain: index % 4 === 0 ? "near" : `far-${index % 4}`,
            load: index % 4 === 0 ? ownLoad : IDLE,
            loadAge: index * 30,
          }),
      );
      const utilization = summarizeDomains(candidates);
      const rounds = 20_000;
      const choose = () => {
        for (let index = 0; index < rounds; index += 1) {
          chooseGateBySpeed(candidates, {
            ownHost: "0",
            ownFailureDomain: "near",
            meanServiceMilliseconds: 268,
            objectiveMilliseconds: 835,
            transferredBytes: 5_000,
          }, { random, utilization });
        }
      };
      choose();
      const startedAt = performance.now();
      choose();
      const microseconds = 1_000 * (performance.now() - startedAt) / rounds;
      context.diagnostic(`${microseconds.toFixed(1)} microseconds`);
    });
  }
});

describe("the room of failure domains", () => {
  const load = createCandidate("").load;

  test("is the fraction of slots in use, and fresh reports count more", () => {
    const candidates = [
      createCandidate("a", { load: { ...load, running: 13 }, loadAge: 0 }),
      createCandidate("b", { load: { ...load, running: 0 }, loadAge: 4_000 }),
      createCandidate("c", { load, failureDomain: "far" }),
    ];
    const utilization = summarizeDomains(candidates);
    assert.ok(Math.abs(utilization.get("near")! - 1 / 1.2) < 1e-9);
    assert.ok(Math.abs(utilization.get("far")! - 4 / 13) < 1e-9);
  });

  test("without slots is none", () => {
    const none = createCandidate("a", { load: { ...load, limit: 0 } });
    assert.equal(summarizeDomains([none]).get("near"), 1);
  });

  // Guards against a seconds-old report of an idle gate that draws the calls of all daemons.
  test("replaces the report of a gate as it ages", () => {
    const utilization = new Map([["near", 1]]);
    const occupied = (loadAge: number) =>
      estimateOccupied(
        createCandidate("a", { load: { ...load, running: 0 }, loadAge }),
        utilization,
        100,
      );
    assert.equal(occupied(0), 0);
    assert.equal(occupied(400), 6.5);
    assert.ok(occupied(40_000) > 12);
  });
});
