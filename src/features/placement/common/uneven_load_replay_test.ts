import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { fadeServiceTime } from "../../gate/common/momentary_speed.ts";
import { sampleCandidates } from "./candidate_sample.ts";
import { chooseGate } from "./gate_choice.ts";
import { chooseGateBySpeed } from "./speed_aware_choice.ts";
import {
  type ReplayRule,
  type ReplayService,
  replayUnevenLoad,
} from "./uneven_load_replay.ts";

const SERVICES: Readonly<Record<string, ReplayService>> = {
  "44 instances": {
    instances: 44,
    slots: 13,
    serviceTimes: [0.7, 0.7, 1.7],
    routes: [
      {
        name: "read",
        perSecond: 648,
        work: 268,
        objective: 835,
        deadline: 2_010,
      },
      {
        name: "write",
        perSecond: 209,
        work: 361,
        objective: 1_250,
        deadline: 3_020,
      },
    ],
  },
  "30 instances with nested calls": {
    instances: 30,
    slots: 13,
    serviceTimes: [0.5, 1, 1, 1.5],
    routes: [
      {
        name: "read",
        perSecond: 198,
        work: 681,
        objective: 2_082,
        deadline: 5_008,
      },
      {
        name: "write",
        perSecond: 77,
        work: 217,
        objective: 829,
        deadline: 2_010,
      },
      {
        name: "nested",
        perSecond: 330,
        work: 80,
        objective: 311,
        deadline: 1_011,
        isNested: true,
      },
    ],
  },
};
/** A single call fills a quarter of an instance, so that the reports of gates are wrong more often. */
const SMALL_INSTANCES: ReplayService = {
  instances: 54,
  slots: 4,
  serviceTimes: [0.8, 1, 1, 1.3],
  routes: [
    {
      name: "read",
      perSecond: 721,
      work: 145,
      objective: 403,
      deadline: 1_512,
    },
    {
      name: "write",
      perSecond: 272,
      work: 182,
      objective: 503,
      deadline: 2_014,
    },
  ],
};
/** Twice the usual demand is more than the capacity of a domain at the peak of its wave. */
const DEMANDS = [1, 2];
const REPLAY_MS = 22_000;

/** The choice by reported loads alone. */
const BEFORE: ReplayRule = {
  statesSpeed: false,
  describeReport: () => ({}),
  choose(candidates, call, { random }) {
    const sampled = sampleCandidates(candidates, call, random);
    const { candidate, expectedWait } = chooseGate(sampled, call, random)!;
    return { index: candidate.index, expectedWait, mayReturn: false };
  },
};

const BY_SPEED: ReplayRule = {
  statesSpeed: true,
  describeReport: ({ currentServiceTime }, age) =>
    currentServiceTime === undefined
      ? {}
      : { currentServiceTime: fadeServiceTime(currentServiceTime, age) },
  choose(candidates, call, { random, fullGateCount, utilization }) {
    const { candidate, expectedWait } = chooseGateBySpeed(candidates, call, {
      random,
      utilization,
    })!;
    return {
      index: candidate.index,
      expectedWait,
      mayReturn: fullGateCount < 2,
    };
  },
};

const WITHOUT_RETURNS: ReplayRule = {
  ...BY_SPEED,
  choose: (candidates, call, state) => ({
    ...BY_SPEED.choose(candidates, call, state),
    mayReturn: false,
  }),
};

describe("demand and speed that are uneven", () => {
  for (const [name, service] of Object.entries(SERVICES)) {
    for (const demand of DEMANDS) {
      // Guards against calls that wait at slowed hosts or in a full domain while others have room.
      test(`${name}, ${demand} times the usual demand: fewer calls are late, and fewer leave their domain`, (context) => {
        const [before, withoutReturns, bySpeed] = [
          BEFORE,
          WITHOUT_RETURNS,
          BY_SPEED,
        ].map((rule) =>
          replayUnevenLoad(service, rule, {
            seed: 7,
            demand,
            duration: REPLAY_MS,
          })
        );
        for (
          const [label, result] of Object.entries({
            before,
            withoutReturns,
            bySpeed,
          })
        ) {
          const figures = Object.entries(result).map(([key, value]) =>
            `${key} ${value.toFixed(3)}`
          );
          context.diagnostic(`${label}: ${figures.join(", ")}`);
        }
        assert.ok(bySpeed.withinObjective > before.withinObjective);
        assert.ok(bySpeed.worstDomain > before.worstDomain);
        assert.ok(bySpeed.across < before.across);
      });
    }
  }

  const statements = [true, false];
  for (const statesSpeed of statements) {
    const state = statesSpeed ? "a speed" : "no speed";
    // Guards against calls that wait at small instances, or leave their domain for gains that are errors of the estimate.
    test(`54 small instances that state ${state}: fewer calls are late, and half as many leave their domain`, (context) => {
      const options = { seed: 7, demand: 0.95, duration: 12_000 };
      const [before, byRoom] = [BEFORE, { ...BY_SPEED, statesSpeed }].map((
        rule,
      ) => replayUnevenLoad(SMALL_INSTANCES, rule, options));
      context.diagnostic(`before: ${JSON.stringify(before)}`);
      context.diagnostic(`by room: ${JSON.stringify(byRoom)}`);
      assert.ok(byRoom.withinObjective > before.withinObjective);
      assert.ok(byRoom.worstRoute > before.worstRoute);
      assert.ok(byRoom.across < before.across / 2);
    });
  }
});
