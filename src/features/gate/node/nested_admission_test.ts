import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { GateOutcome, GateRequest } from "../common/gate_call.ts";
import { createAdmissionFixture } from "./admission_fixture.ts";

const SERVICE_MS = 20;

function reasonsOf(
  offers: readonly (readonly GateOutcome[])[],
): readonly (string | false)[] {
  return offers.flatMap((outcomes) =>
    outcomes.map((outcome) => outcome.type === "refused" && outcome.reason)
  );
}

/** A gate of one slot after ten calls of a route have failed because their nested calls were refused. */
function createFailingRoute() {
  const fixture = createAdmissionFixture(1);
  for (let index = 0; fixture.started.length < 10; index += 1) {
    fixture.offer("a", `failed-${index}`);
    fixture.end(SERVICE_MS, { wasNestedRefused: true });
  }
  return fixture;
}

describe("calls whose nested calls are refused, at a gate without room", () => {
  const cases: readonly {
    readonly name: string;
    readonly fields: Partial<GateRequest>;
  }[] = [
    {
      name: "without time to wait",
      fields: { objectiveInMilliseconds: 30, deadlineInMilliseconds: 30 },
    },
    {
      name: "that the gate may return",
      fields: { objectiveInMilliseconds: 150, mayBeReturned: true },
    },
  ];
  for (const { name, fields } of cases) {
    // Guards against calls that the gate could not admit using up the refusals of those it would.
    test(`${name} are refused as full, and the refusals are left for calls that would start`, () => {
      const { admission, offer, end, started } = createFailingRoute();
      offer("a", "other", { route: "write" });
      assert.equal(started.at(-1), "other");
      const full = [1, 2, 3, 4].map((index) =>
        offer("b", `full-${index}`, fields)
      );
      assert.deepEqual(reasonsOf(full), ["full", "full", "full", "full"]);
      end(0);
      // As many as without the calls before.
      const admitted = [1, 2, 3, 4, 5].map((index) =>
        reasonsOf([offer("b", `last-${index}`)])[0] ?? "admitted"
      );
      const alone = createFailingRoute();
      const expected = [1, 2, 3, 4, 5].map((index) =>
        reasonsOf([alone.offer("b", `last-${index}`)])[0] ?? "admitted"
      );
      assert.deepEqual(admitted, expected);
      assert.ok(expected.includes("nested-refused"));
      admission.dispose();
      alone.admission.dispose();
    });
  }
});

describe("calls that must wait for a slot", () => {
  // Guards against refusals for failures of nested calls that ended long ago, while no call of the route ran.
  test("are queued a minute after the last failure of a nested call", () => {
    const { admission, clock, offer, started } = createFailingRoute();
    clock.advance(60_000);
    offer("a", "other", { route: "write" });
    assert.equal(started.at(-1), "other");
    const waiting = [1, 2, 3, 4].map((index) => offer("b", `waits-${index}`));
    assert.deepEqual(reasonsOf(waiting), []);
    assert.equal(admission.waiting, 4);
    admission.dispose();
  });
});
