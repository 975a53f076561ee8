import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { drawServiceTimeFactor } from "../../../base/common/service_time_factor.ts";
import {
  createColdStartRate,
  type KnownColdStartLimit,
} from "./cold_start_rate.ts";
import { createFixtureReport } from "./gate_fixture.ts";
import { createInstanceCondition } from "./instance_condition.ts";
import { createServiceTimeJump } from "./service_time_jump.ts";

const LIMIT = { durationMilliseconds: 3_000, requestsPerSecond: 10 };

describe("the rate of a cold instance", () => {
  const cases: readonly {
    readonly name: string;
    readonly limit: KnownColdStartLimit;
    readonly coldFor: number;
    readonly expected: number | undefined;
  }[] = [
    // Guards against a change where no service bounds its cold instances.
    {
      name: "is not bounded without a limit",
      limit: undefined,
      coldFor: 5_000,
      expected: undefined,
    },
    {
      name: "is not bounded after a first report that it is warm",
      limit: LIMIT,
      coldFor: 0,
      expected: undefined,
    },
    {
      name: "is bounded as configured",
      limit: LIMIT,
      coldFor: 5_000,
      expected: 10,
    },
    // Guards against a restarted daemon that knows its instance before the configuration.
    {
      name: "is bounded to what any limit allows before one is known",
      limit: "unknown",
      coldFor: 5_000,
      expected: 4,
    },
  ];
  for (const { name, limit, coldFor, expected } of cases) {
    test(name, () => {
      const rate = createColdStartRate(() => limit);
      rate.handleNewInstance(coldFor, 0);
      assert.equal(rate.limitAt(1), expected);
    });
  }

  // Guards against counting from the report on: the requests just before it reach the instance while it is cold.
  test("counts the requests of the second before the instance became cold", () => {
    const rate = createColdStartRate(() => LIMIT);
    rate.handleNewInstance(0, 0);
    for (let at = 600; at < 1_000; at += 20) {
      rate.record(at);
    }
    assert.equal(rate.timeUntil(1, 1_000), 0);
    rate.recordReport(3_000, 1_000);
    assert.equal(rate.timeUntil(1, 1_000), 800);
  });

  const holds = [
    // An alarm that the instance denies costs no more than the time until its report.
    { cause: "slow", after: "warm" },
    // Load returns gradually to a failure domain that was evacuated.
    { cause: "restored", after: "ramping" },
  ] as const;
  for (const { cause, after } of holds) {
    test(`is held until the next report (${cause}), then ${after}`, () => {
      const rate = createColdStartRate(() => LIMIT);
      rate.handleNewInstance(0, 0);
      rate.holdUntilReport(cause);
      assert.equal(rate.phase(10_000), "cold");
      rate.recordReport(0, 10_000);
      assert.equal(rate.phase(10_001), after);
      assert.equal(rate.phase(12_001), "warm");
    });
  }

  // Guards against a bound that ends early, or a ramp that begins again with each report.
  test("follows the reports: cold, cold again, warm before it was expected", () => {
    const rate = createColdStartRate(() => LIMIT);
    rate.handleNewInstance(3_000, 0);
    rate.recordReport(3_000, 1_500);
    assert.equal(rate.phase(4_400), "cold");
    rate.recordReport(0, 4_400);
    assert.equal(rate.phase(4_401), "ramping");
    rate.recordReport(0, 5_900);
    assert.equal(rate.phase(6_400), "warm");
    rate.recordReport(1_000, 7_000);
    assert.equal(rate.phase(7_500), "cold");
  });

  const combined = [
    { named: 30, expected: 10 },
    { named: 3, expected: 3 },
  ];
  for (const { named, expected } of combined) {
    test(`a limit of ${named} that the instance names: the lower one holds`, () => {
      const clock = new VirtualClock();
      const condition = createInstanceCondition({
        clock,
        heartbeatMilliseconds: 1_000,
        readColdStartLimit: () => LIMIT,
      });
      const report = {
        ...createFixtureReport({ port: 1, slots: 4 }),
        coldForMilliseconds: 60_000,
      };
      condition.tracker.applyReport(report);
      condition.handleNewInstance(report, 0);
      condition.rateLimit.applyNotice(named, report, 0);
      assert.equal(condition.requestRate.limit, expected);
      // Callers learn the calls at a time that the rate allows.
      assert.equal(condition.capacity, expected * 50 / 1_000);
      let count = 0;
      for (let now = 0; now < 10_000; now += 1) {
        if (condition.requestRate.timeUntil(1, now) === 0) {
          condition.requestRate.record(now);
          count += 1;
        }
        clock.advance(1);
      }
      assert.ok(count <= expected * 10 + 1 && count >= expected * 7);
    });
  }
});

// Guards against a bound on each instance that is merely slow, at every report.
test("service times that stay doubled count as one jump", () => {
  const jump = createServiceTimeJump();
  const jumps: number[] = [];
  for (let call = 0; call < 400; call += 1) {
    if (jump.record(call < 100 ? 50 : 100, 50)) {
      jumps.push(call);
    }
  }
  assert.equal(jumps.length, 1);
  assert.ok(jumps[0] >= 100 && jumps[0] < 116);
});

// Guards against a bound on warm instances, again and again, where service times vary widely.
test("chance rarely shows a jump, whatever the spread of service times", (context) => {
  for (const deviation of [0.5, 0.8]) {
    const random = createRandomSource(7);
    const jump = createServiceTimeJump();
    const calls = 200_000;
    let alarms = 0;
    for (let call = 0; call < calls; call += 1) {
      const duration = 100 * drawServiceTimeFactor(random, deviation);
      alarms += jump.record(duration, 100) ? 1 : 0;
    }
    context.diagnostic(`deviation ${deviation}: ${alarms} in ${calls} calls`);
    // At 25 calls a second, with 1.5 s until the next report, an instance is then bound for less than 1 % of the time.
    assert.ok(alarms <= calls / 4_000);
  }
});
