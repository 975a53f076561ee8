import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { closesConnection } from "../../../base/common/stop_phase.ts";
import { admitsCall, canEndBeforeStop, planStop } from "./stop_plan.ts";

const GRACE_PERIOD_MS = 6_000;
/** Calls that are sent later than this after the stop request must not be terminated. */
const LATEST_TERMINABLE_MS = 3_000;
/** Clients may keep sending calls for this long after the stop request. */
const CLIENTS_MOVED_AFTER_MS = 2_300;

describe("calls that arrive while a daemon stops", () => {
  const plan = planStop(GRACE_PERIOD_MS, 0);

  test("accepted calls have a third of the grace period to complete, and clients have time to move away", () => {
    assert.ok(plan.acceptsCallsFor > CLIENTS_MOVED_AFTER_MS);
    assert.ok(
      plan.endsCallsAfter - plan.acceptsCallsFor >= GRACE_PERIOD_MS / 3,
    );
    assert.ok(plan.endsCallsAfter < GRACE_PERIOD_MS);
    assert.ok(plan.acceptsOffersFor <= plan.acceptsCallsFor);
  });

  for (const readDelay of [300, 1_000, 2_500, 60_000]) {
    test(`a stop request that is read ${readDelay} ms late leaves time to complete calls before the process is killed`, () => {
      const latePlan = planStop(GRACE_PERIOD_MS, readDelay);
      const killedAfter = GRACE_PERIOD_MS -
        Math.min(readDelay, GRACE_PERIOD_MS / 2);
      assert.ok(latePlan.endsCallsAfter < killedAfter);
      assert.ok(
        latePlan.endsCallsAfter - latePlan.acceptsCallsFor >= killedAfter / 3,
      );
      assert.ok(latePlan.acceptsOffersFor <= latePlan.acceptsCallsFor);
      // Guards against calls that are taken although they were sent so late that the stop must not end them.
      assert.ok(
        latePlan.acceptsCallsFor + Math.min(readDelay, GRACE_PERIOD_MS / 2) <=
          LATEST_TERMINABLE_MS,
      );
    });
  }

  // Overlapping rolling restarts: a call every 100 ms until the exit, each of which takes up to 1.2 s.
  test("no call is cut off in a simulated stop, while accepting all calls cuts off the last 11", () => {
    const MAXIMUM_CALL_MS = 1_200;
    const arrivals = Array.from(
      { length: GRACE_PERIOD_MS / 100 },
      (_, number) => number * 100,
    );
    const phaseAt = (at: number) =>
      at < plan.acceptsCallsFor ? "leaving" as const : "finishing" as const;
    const isCut = (at: number) => at + MAXIMUM_CALL_MS > plan.endsCallsAfter;
    const served = arrivals.filter((at) => at < plan.endsCallsAfter);
    const admitted = served.filter((at) =>
      admitsCall(phaseAt(at), { isNested: false })
    );
    const cut = {
      withoutRule: served.filter(isCut).length,
      withRule: admitted.filter(isCut).length,
    };
    console.log(`calls cut off: ${JSON.stringify(cut)}`);
    assert.deepEqual(cut, { withoutRule: 11, withRule: 0 });
  });

  for (
    const { name, phase, isNested, isAdmitted } of [
      {
        name: "before a stop",
        phase: "serving",
        isNested: false,
        isAdmitted: true,
      },
      {
        name: "in phase leaving",
        phase: "leaving",
        isNested: false,
        isAdmitted: true,
      },
      {
        name: "in phase finishing",
        phase: "finishing",
        isNested: false,
        isAdmitted: false,
      },
      {
        name: "in phase finishing, if it is nested",
        phase: "finishing",
        isNested: true,
        isAdmitted: true,
      },
    ] as const
  ) {
    test(`a call is ${isAdmitted ? "accepted" : "refused"} ${name}`, () => {
      assert.equal(admitsCall(phase, { isNested }), isAdmitted);
    });
  }

  // Guards against a nested call that is taken because calls like it are short on average, and broken off.
  for (
    const { name, phase, timeLeft, timeUntilStopped, ends } of [
      {
        name: "before a stop",
        phase: "serving",
        timeLeft: 9_000,
        timeUntilStopped: Infinity,
        ends: true,
      },
      {
        name: "early in a stop, if it usually ends",
        phase: "leaving",
        timeLeft: 9_000,
        timeUntilStopped: 200,
        ends: true,
      },
      {
        name: "early in a stop, unless it usually ends",
        phase: "leaving",
        timeLeft: 9_000,
        timeUntilStopped: 100,
        ends: false,
      },
      {
        name: "late in a stop, if its deadline passes before",
        phase: "finishing",
        timeLeft: 600,
        timeUntilStopped: 600,
        ends: true,
      },
      {
        name: "late in a stop, unless its deadline passes before",
        phase: "finishing",
        timeLeft: 1_000,
        timeUntilStopped: 900,
        ends: false,
      },
    ] as const
  ) {
    test(`a call ${ends ? "is taken" : "is refused"} ${name}`, () => {
      const duration = { meanServiceMilliseconds: 78, timeLeft };
      assert.equal(canEndBeforeStop(phase, duration, timeUntilStopped), ends);
    });
  }

  for (
    const { phase, isLastRead, closes } of [
      { phase: "serving", isLastRead: true, closes: false },
      { phase: "leaving", isLastRead: false, closes: false },
      { phase: "leaving", isLastRead: true, closes: true },
      { phase: "finishing", isLastRead: true, closes: true },
    ] as const
  ) {
    test(
      `a response ${closes ? "closes" : "keeps"} its connection: ${phase}, ${
        isLastRead ? "the last request" : "more requests were read after it"
      }`,
      () => {
        assert.equal(closesConnection(phase, { isLastRead }), closes);
      },
    );
  }
});
