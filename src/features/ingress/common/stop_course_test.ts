import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { closesConnection } from "../../../base/common/stop_phase.ts";
import { admitsCall, planStop } from "./stop_plan.ts";

const ALLOWED_MS = 6_000;
/** Callers may stay for this long after the request to stop. */
const MOVED_AFTER_MS = 2_300;

describe("calls that go on arriving while a daemon stops", () => {
  const plan = planStop(ALLOWED_MS, 0);

  test("none that is taken needs more time than the stop leaves, and callers have time to leave", () => {
    assert.ok(plan.acceptsCallsFor > MOVED_AFTER_MS);
    assert.ok(plan.endsCallsAfter - plan.acceptsCallsFor >= ALLOWED_MS / 3);
    assert.ok(plan.endsCallsAfter < ALLOWED_MS);
    assert.ok(plan.acceptsOffersFor <= plan.acceptsCallsFor);
  });

  for (const readAfter of [300, 1_000, 2_500, 60_000]) {
    test(`a request to stop that is read ${readAfter} ms late leaves time to end calls before the process is killed`, () => {
      const late = planStop(ALLOWED_MS, readAfter);
      const killedAfter = ALLOWED_MS - Math.min(readAfter, ALLOWED_MS / 2);
      assert.ok(late.endsCallsAfter < killedAfter);
      assert.ok(late.endsCallsAfter - late.acceptsCallsFor >= killedAfter / 3);
      assert.ok(late.acceptsOffersFor <= late.acceptsCallsFor);
    });
  }

  // Restarts in turn that overlap: a call each 100 ms until the end, each of which takes 1.2 s at most.
  test("a replay of calls until the end of the process cuts none; serving them all cuts the last ones", () => {
    const LONGEST_MS = 1_200;
    const arrivals = Array.from(
      { length: ALLOWED_MS / 100 },
      (_, number) => number * 100,
    );
    const phaseAt = (at: number) =>
      at < plan.acceptsCallsFor ? "leaving" as const : "finishing" as const;
    const isCut = (at: number) => at + LONGEST_MS > plan.endsCallsAfter;
    const served = arrivals.filter((at) => at < plan.endsCallsAfter);
    const admitted = served.filter((at) =>
      admitsCall(phaseAt(at), { isNested: false })
    );
    const cut = {
      withoutRule: served.filter(isCut).length,
      withRule: admitted.filter(isCut).length,
    };
    console.log(`calls cut: ${JSON.stringify(cut)}`);
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
        name: "while callers leave",
        phase: "leaving",
        isNested: false,
        isAdmitted: true,
      },
      {
        name: "after that",
        phase: "finishing",
        isNested: false,
        isAdmitted: false,
      },
      {
        name: "for a call at work",
        phase: "finishing",
        isNested: true,
        isAdmitted: true,
      },
    ] as const
  ) {
    test(`a call is ${isAdmitted ? "taken" : "refused"} ${name}`, () => {
      assert.equal(admitsCall(phase, { isNested }), isAdmitted);
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
      `an answer ${closes ? "ends" : "keeps"} its connection: ${phase}, ${
        isLastRead ? "the last request" : "others behind it"
      }`,
      () => {
        assert.equal(closesConnection(phase, { isLastRead }), closes);
      },
    );
  }
});
