import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { drawServiceTimeFactor } from "../../../base/common/service_time_factor.ts";
import type { KnownColdStartLimit } from "./cold_start_rate.ts";
import { createFixtureReport, createFixtureRequest } from "./gate_fixture.ts";
import { createInstanceCondition } from "./instance_condition.ts";

const PER_SECOND = 11;
const LIMIT = { durationMilliseconds: 3_000, requestsPerSecond: PER_SECOND };
/** What may reach a cold instance in any one second. */
const ALLOWED = 1.5 * PER_SECOND + 8;
const HEARTBEAT_MS = 1_500;
const SECOND_MS = 1_000;
const COLD_FACTOR = 2;
const DEVIATION = 0.5;
const SLOTS = 4;

interface Replay {
  readonly limit: KnownColdStartLimit;
  readonly seed: number;
  readonly arrivalsPerSecond: number;
  readonly workMilliseconds: Milliseconds;
  /** When the instance is cold; it reports so with its next heartbeat. */
  readonly cold: readonly { readonly from: number; readonly until: number }[];
  readonly endsAt: Milliseconds;
  /** When the daemon beside the instance is restarted and has forgotten everything. */
  readonly restartsAt?: Milliseconds;
  /** How long the daemon does not run when it is restarted. */
  readonly restartTakes?: Milliseconds;
  /** The limit after the restart. */
  readonly limitAfterRestart?: KnownColdStartLimit;
}

/** Starts the calls that a gate would start at its instance; returns when they started. */
function play(replay: Replay): readonly Milliseconds[] {
  const random = createRandomSource(replay.seed);
  const clock = new VirtualClock();
  let { limit } = replay;
  const createCondition = () =>
    createInstanceCondition({
      clock,
      heartbeatMilliseconds: HEARTBEAT_MS,
      readColdStartLimit: () => limit,
    });
  let condition = createCondition();
  let running: { startedAt: number; endsAt: number; isOld: boolean }[] = [];
  const starts: Milliseconds[] = [];
  const request = createFixtureRequest("call", 1_000);
  let waiting = 0;
  let arrived = 0;
  let resumesAt = 0;
  const coldUntil = (now: number) =>
    replay.cold.find(({ from, until }) => from <= now && now < until)?.until;

  function report(now: Milliseconds): void {
    const received = {
      ...createFixtureReport({ port: 1, slots: SLOTS }),
      sequence: Math.round(now) + 1,
      coldForMilliseconds: Math.max(0, (coldUntil(now) ?? 0) - now),
    };
    const { type } = condition.tracker.applyReport(received);
    condition.recordReport(received, now);
    if (type === "new") {
      condition.handleNewInstance(received, now);
    }
  }

  for (let now = 0; now < replay.endsAt; now = clock.now()) {
    if (now === replay.restartsAt) {
      condition = createCondition();
      limit = replay.limitAfterRestart ?? limit;
      running = running.map((each) => ({ ...each, isOld: true }));
      resumesAt = now + (replay.restartTakes ?? 0);
    }
    if (now % HEARTBEAT_MS === 0 || now === resumesAt) {
      report(now);
    }
    for (const { startedAt, endsAt, isOld } of running) {
      if (endsAt <= now && !isOld) {
        condition.recordServed(
          request.route,
          endsAt - startedAt,
          replay.workMilliseconds,
          now,
        );
      }
    }
    running = running.filter(({ endsAt }) => endsAt > now);
    arrived += replay.arrivalsPerSecond / SECOND_MS;
    while (arrived >= 1) {
      arrived -= 1;
      // Callers go elsewhere instead of waiting for long.
      waiting = Math.min(SLOTS, waiting + 1);
    }
    while (
      now >= resumesAt && waiting > 0 && running.length < SLOTS &&
      condition.requestRate.timeUntil(1, now) === 0
    ) {
      condition.requestRate.record(now);
      waiting -= 1;
      starts.push(now);
      const duration = replay.workMilliseconds *
        (coldUntil(now) === undefined ? 1 : COLD_FACTOR) *
        drawServiceTimeFactor(random, DEVIATION);
      running.push({ startedAt: now, endsAt: now + duration, isOld: false });
    }
    clock.advance(1);
  }
  return starts;
}

/** The most starts in any second that lies in one cold time. */
function countMost({ cold }: Replay, starts: readonly Milliseconds[]): number {
  return Math.max(
    ...cold.map(({ from, until }) => {
      const inside = starts.filter((at) => at >= from && at < until);
      return Math.max(
        0,
        ...inside.map((start) =>
          inside.filter((at) => at >= start && at < start + SECOND_MS).length
        ),
      );
    }),
  );
}

function countBetween(
  starts: readonly Milliseconds[],
  from: Milliseconds,
  until: Milliseconds,
): number {
  return starts.filter((at) => at >= from && at < until).length;
}

const OVERLOADED = {
  limit: LIMIT,
  seed: 1,
  arrivalsPerSecond: 3 * PER_SECOND,
  workMilliseconds: 40,
  cold: [{ from: 0, until: 4_500 }],
  endsAt: 9_000,
} satisfies Replay;

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

// Guards against a cold instance that crashes because it gets more requests than it tolerates.
describe("the requests to a cold instance", () => {
  const cases: readonly (readonly [string, Replay])[] = [
    ["at three times the bound", OVERLOADED],
    ["at ten times the bound", {
      ...OVERLOADED,
      arrivalsPerSecond: 10 * PER_SECOND,
    }],
    ["when its daemon is restarted at once", {
      ...OVERLOADED,
      restartsAt: 1_730,
    }],
    ["when its daemon is restarted in 400 ms", {
      ...OVERLOADED,
      restartsAt: 1_730,
      restartTakes: 400,
    }],
    ["when its restarted daemon does not know the configuration", {
      ...OVERLOADED,
      restartsAt: 1_730,
      limitAfterRestart: "unknown",
    }],
  ];
  for (const [name, replay] of cases) {
    test(`${name}: never more than it tolerates`, (context) => {
      const bounded = SEEDS.map((seed) =>
        countMost(replay, play({ ...replay, seed }))
      );
      const unbounded = SEEDS.map((seed) =>
        countMost(
          replay,
          play({
            ...replay,
            seed,
            limit: undefined,
            limitAfterRestart: undefined,
          }),
        )
      );
      context.diagnostic(
        `most in a second: ${Math.max(...bounded)} with the bound, ${
          Math.max(...unbounded)
        } without; allowed ${ALLOWED}`,
      );
      assert.ok(Math.max(...bounded) <= ALLOWED);
      assert.ok(
        Math.min(...unbounded) > ALLOWED,
        "the load exceeds the bound without it",
      );
    });
  }

  test("uses most of what it tolerates", () => {
    const starts = play(OVERLOADED);
    assert.ok(countBetween(starts, 0, 4_000) >= 0.8 * PER_SECOND * 4);
  });

  test("grow step by step after the cold time", (context) => {
    const replay = { ...OVERLOADED, arrivalsPerSecond: 10 * PER_SECOND };
    const starts = play(replay);
    const parts = Array.from(
      { length: 8 },
      (_, index) =>
        countBetween(starts, 4_500 + index * 250, 4_500 + (index + 1) * 250),
    );
    context.diagnostic(`requests in each 250 ms after: ${parts.join(", ")}`);
    assert.ok(parts[0] <= 2 * PER_SECOND / 4);
    assert.ok(parts[0] < parts[3]);
    assert.ok(
      countBetween(starts, 7_000, 9_000) > 2 * 4 * PER_SECOND,
      "nothing is bounded later",
    );
  });

  const again = {
    ...OVERLOADED,
    cold: [{ from: 6_010, until: 10_510 }],
    endsAt: 11_000,
  } satisfies Replay;

  for (const arrivalsPerSecond of [33, 60, 110]) {
    // No daemon can know before its instance shows it, so this is no guarantee.
    test(`mostly stay within it when a warm instance becomes cold between two reports, at ${arrivalsPerSecond} a second`, (context) => {
      const replay = { ...again, arrivalsPerSecond };
      const bounded = SEEDS.map((seed) =>
        countMost(replay, play({ ...replay, seed }))
      ).sort((left, right) => left - right);
      const unbounded = SEEDS.map((seed) =>
        countMost(replay, play({ ...replay, seed, limit: undefined }))
      );
      const within = bounded.filter((most) => most <= ALLOWED).length;
      context.diagnostic(
        `within ${ALLOWED}: ${within} of ${SEEDS.length}; highest ${
          bounded.at(-1)
        }, without the bound ${Math.min(...unbounded)} to ${
          Math.max(...unbounded)
        }`,
      );
      assert.ok(bounded[SEEDS.length / 2] <= ALLOWED);
      assert.ok(Math.min(...unbounded) > ALLOWED);
    });
  }
});
