import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  type AdmissionFixture,
  createAdmissionFixture,
} from "./admission_fixture.ts";

interface Case {
  readonly name: string;
  readonly sharesByAccount: boolean;
  /** Queues a call that could start after `SWEEP_MS`. */
  queue(fixture: AdmissionFixture): void;
}

/** A little more than the interval of the checks for queued calls. */
const SWEEP_MS = 45;

const CASES: readonly Case[] = [
  {
    name: "at the check for queued calls where accounts share the room",
    sharesByAccount: true,
    queue({ offer, end }) {
      offer("a", "ahead");
      offer("a", "queued");
      end(10);
    },
  },
  {
    name: "when the rate limit allows the next request",
    sharesByAccount: false,
    queue({ offer, condition, clock }) {
      const { instance } = condition.tracker;
      condition.rateLimit.applyNotice(25, instance!, clock.now());
      offer("a", "queued");
    },
  },
];

// Guards against slots taken by calls whose clients left while the event loop was stalled.
describe("a queued call does not start before the input of a stall is processed", () => {
  for (const { name, sharesByAccount, queue } of CASES) {
    for (const hasLeft of [true, false]) {
      test(`${name}; its client ${hasLeft ? "has left" : "waits"}`, () => {
        const deferred: (() => void)[] = [];
        const fixture = createAdmissionFixture(1, {
          sharesByAccount: () => sharesByAccount,
          afterStall: (callback) => void deferred.push(callback),
        });
        queue(fixture);
        fixture.clock.advance(SWEEP_MS);
        assert.equal(fixture.started.includes("queued"), false);
        if (hasLeft) {
          fixture.handles.get("queued")!.cancel();
        }
        for (const callback of deferred.splice(0)) {
          callback();
        }
        assert.equal(fixture.started.includes("queued"), !hasLeft);
        fixture.admission.dispose();
      });
    }
  }
});
