import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createFixtureReport, createFixtureRequest } from "./gate_fixture.ts";
import { createInstanceCondition } from "./instance_condition.ts";

const CALLS = 40;
const SLOWNESS = 2.5;

/** Returns why the instance is bounded after its calls have become slower. */
function slowDown(statesSpeed: boolean) {
  const clock = new VirtualClock();
  const condition = createInstanceCondition({
    clock,
    heartbeatMilliseconds: 100_000,
    readColdStartLimit: () => ({
      requestsPerSecond: 5,
      durationMilliseconds: 2_000,
    }),
  });
  const report = createFixtureReport({ port: 1, slots: 4 });
  condition.tracker.applyReport(report);
  condition.recordReport(report, clock.now());
  const request = createFixtureRequest("call", 1_000);
  for (const slowness of [1, SLOWNESS]) {
    for (let index = 0; index < CALLS; index += 1) {
      const startedAt = clock.now();
      if (statesSpeed) {
        condition.momentarySpeed.record(slowness, startedAt);
      }
      clock.advance(request.meanServiceMilliseconds * slowness);
      condition.recordServed(request, { startedAt, now: clock.now() });
    }
  }
  return condition.coldStart.heldFor;
}

describe("service times that rise", () => {
  test("bound an instance that states no speed", () => {
    assert.equal(slowDown(false), "slow");
  });

  // Guards against instances that are bounded like cold ones in each spell of their hosts.
  test("do not bound an instance whose host is slow for the moment", () => {
    assert.equal(slowDown(true), undefined);
  });
});
