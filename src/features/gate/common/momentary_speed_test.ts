import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { drawServiceTimeFactor } from "../../../base/common/service_time_factor.ts";
import {
  createMomentarySpeed,
  estimateDuration,
  fadeServiceTime,
} from "./momentary_speed.ts";
import { createRelativeServiceTime } from "./relative_service_time.ts";
import { createSpeedChangeLog } from "./speed_change_log.ts";

/** The factor by which a spell slows work. */
const SLOWDOWN = 2.5;
const SPELL_MS = 600;
/** Mean time between two spells: a host is slow for 15 % of the time. */
const PAUSE_MS = 3_400;
const WORK_MS = 268;
const DEVIATION = 0.5;
const DURATION_MS = 60_000;
/** Interval between responses of one instance. */
const RESPONSE_INTERVAL_MS = 40;

describe("the momentary speed of a host", () => {
  test("without a figure nothing is known and durations count in full", () => {
    const speed = createMomentarySpeed();
    assert.equal(speed.current(100), undefined);
    assert.equal(speed.usualTimeBetween(20, 100), 80);
  });

  // Guards against steering calls by a spell that is long over.
  test("a figure loses its worth within seconds", () => {
    const speed = createMomentarySpeed();
    speed.record(SLOWDOWN, 0);
    assert.equal(speed.current(0), SLOWDOWN);
    assert.ok(speed.current(SPELL_MS)! < 1.6);
    assert.ok(speed.current(10 * SPELL_MS)! < 1.001);
    assert.equal(fadeServiceTime(SLOWDOWN, -5), SLOWDOWN);
  });

  // Guards against a gate that reports a speed, and returns calls, after its instance has stopped stating one.
  test("a figure that was not stated for ten seconds is unknown until it is stated again", () => {
    for (const ratio of [0.5, 1, SLOWDOWN, 20]) {
      const speed = createMomentarySpeed();
      speed.record(ratio, 0);
      assert.ok(Math.abs(speed.current(9_999)! - 1) < 0.001);
      assert.equal(speed.current(10_000), undefined);
      speed.record(ratio, 20_000);
      assert.equal(speed.current(20_000), ratio);
    }
  });

  test("work done in a spell counts as what it usually takes", () => {
    const speed = createMomentarySpeed();
    speed.record(1, 0);
    speed.record(2, 100);
    speed.record(1, 300);
    assert.equal(speed.usualTimeBetween(0, 400), 300);
    assert.equal(speed.usualTimeBetween(150, 250), 50);
    assert.equal(speed.usualTimeBetween(320, 400), 80);
  });

  // Guards against memory that grows with the number of responses.
  test("a call that began before the figures that are kept is measured with those", () => {
    const speed = createMomentarySpeed();
    for (let at = 0; at < 1_000; at += 1) {
      speed.record(2 + at % 2, at);
    }
    const usual = speed.usualTimeBetween(0, 1_000);
    assert.ok(usual > 900 && usual < 1_000, String(usual));
  });

  test("a figure that is stated again and again covers the whole time", () => {
    const speed = createMomentarySpeed();
    for (let at = 0; at <= 4_000; at += 10) {
      speed.record(2, at);
    }
    assert.equal(speed.usualTimeBetween(0, 4_000), 2_000);
  });

  test("a long call outlives the spell, a short one does not", () => {
    const short = estimateDuration(80, { ratio: SLOWDOWN }) / 80;
    const long = estimateDuration(700, { ratio: SLOWDOWN }) / 700;
    assert.ok(short > 2 && short < SLOWDOWN, String(short));
    assert.ok(long < 1.6, String(long));
    assert.equal(estimateDuration(80, { ratio: 1 }), 80);
    assert.ok(
      estimateDuration(80, { ratio: SLOWDOWN, wait: 2 * SPELL_MS }) < 100,
    );
    assert.ok(estimateDuration(80, { ratio: 0.5 }) < 80);
  });
});

/** Draws the spells of a host: alternating starts and ends. */
function drawSpells(seed: number): (at: number) => number {
  const random = createRandomSource(seed);
  const ends: number[] = [];
  for (let at = 0; at < DURATION_MS;) {
    const mean = ends.length % 2 === 0 ? PAUSE_MS : SPELL_MS;
    at -= Math.log(1 - random.nextFraction()) * mean;
    ends.push(at);
  }
  return (at) => ends.findIndex((end) => at < end) % 2 === 1 ? SLOWDOWN : 1;
}

/** The estimates of the lasting speed of an instance of usual speed, one for each response. */
function estimateLasting(rule: "durations" | "usual-times", seed: number) {
  const factorAt = drawSpells(seed);
  const random = createRandomSource(seed + 100);
  const speed = createMomentarySpeed();
  const lasting = createRelativeServiceTime();
  const estimates: number[] = [];
  const calls: { startedAt: number; endsAt: number }[] = [];
  for (let at = 0; at < DURATION_MS; at += RESPONSE_INTERVAL_MS) {
    let left = WORK_MS * drawServiceTimeFactor(random, DEVIATION);
    let endsAt = at;
    for (; left > 0; endsAt += 1) {
      left -= 1 / factorAt(endsAt);
    }
    calls.push({ startedAt: at, endsAt });
  }
  calls.sort((left, right) => left.endsAt - right.endsAt);
  for (const { startedAt, endsAt } of calls) {
    speed.record(factorAt(endsAt), endsAt);
    lasting.recordAnswered(
      rule === "durations"
        ? endsAt - startedAt
        : speed.usualTimeBetween(startedAt, endsAt),
      WORK_MS,
      endsAt,
    );
    estimates.push(lasting.current(endsAt));
  }
  return estimates;
}

describe("the lasting speed of an instance on a host with spells", () => {
  // Guards against spells that count as a slow instance for seconds after they have ended.
  test("is disturbed less if spells are left out", (context) => {
    const deviationOf = (rule: "durations" | "usual-times") => {
      const estimates = [1, 2, 3, 4].flatMap((seed) =>
        estimateLasting(rule, seed)
      );
      const mean = estimates.reduce((sum, one) => sum + one, 0) /
        estimates.length;
      const squares = estimates.map((one) => (one / mean - 1) ** 2)
        .reduce((sum, one) => sum + one, 0);
      return Math.sqrt(squares / estimates.length);
    };
    const before = deviationOf("durations");
    const after = deviationOf("usual-times");
    context.diagnostic(
      `relative deviation of the lasting speed: ${
        before.toFixed(3)
      } by durations, ${after.toFixed(3)} without spells`,
    );
    assert.ok(after < before / 2);
  });
});

describe("the log of speed changes", () => {
  test("has one line in a while, with hysteresis, and counts the others", () => {
    const changes = createSpeedChangeLog();
    assert.equal(changes.record(1.3, 0), undefined);
    assert.deepEqual(changes.record(2.5, 1), { speed: "slow", changes: 1 });
    assert.equal(changes.record(1.3, 100), undefined);
    assert.equal(changes.record(1, 200), undefined);
    assert.equal(changes.record(2.5, 300), undefined);
    assert.deepEqual(changes.record(1, 20_000), {
      speed: "normal",
      changes: 3,
    });
  });
});
