import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import { createInstanceRegister } from "./instance_tracker.ts";

function report(fields: Partial<InstanceReport>): InstanceReport {
  return {
    identity: "i-1",
    service: "booking",
    version: "v1",
    address: "10.0.0.1:80",
    failureDomain: "east",
    slots: 4,
    state: "ready",
    coldForMilliseconds: 0,
    sequence: 1,
    startedAt: 1_000,
    ...fields,
  };
}

type Step =
  | { readonly report: Partial<InstanceReport>; readonly outcome: string }
  | {
    readonly depart: { identity: string; startedAt: number | undefined };
    readonly outcome: string;
  };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly believed: string;
}

const CASES: readonly Case[] = [
  {
    name: "a repeated or late heartbeat changes nothing",
    steps: [
      { report: { sequence: 5 }, outcome: "new" },
      { report: { sequence: 5, state: "draining" }, outcome: "ignored" },
      { report: { sequence: 4 }, outcome: "ignored" },
    ],
    believed: "i-1 ready",
  },
  {
    name: "an instance that drains does not become ready again",
    steps: [
      { report: { sequence: 1 }, outcome: "new" },
      { report: { sequence: 2, state: "draining" }, outcome: "changed" },
      { report: { sequence: 3 }, outcome: "ignored" },
    ],
    believed: "i-1 draining",
  },
  {
    name: "a heartbeat that was held up until after the leaving is ignored",
    steps: [
      { report: { sequence: 1 }, outcome: "new" },
      { depart: { identity: "i-1", startedAt: 1_000 }, outcome: "changed" },
      { report: { sequence: 9 }, outcome: "ignored" },
    ],
    believed: "i-1 gone",
  },
  {
    name: "a restart under the same identity counts anew",
    steps: [
      { report: { sequence: 9 }, outcome: "new" },
      { depart: { identity: "i-1", startedAt: 1_000 }, outcome: "changed" },
      { report: { sequence: 1, startedAt: 2_000 }, outcome: "new" },
    ],
    believed: "i-1 ready",
  },
  {
    name:
      "a held-up heartbeat of the crashed predecessor does not replace its successor",
    steps: [
      { report: { sequence: 7 }, outcome: "new" },
      { report: { identity: "i-2", startedAt: 2_000 }, outcome: "new" },
      { report: { sequence: 8 }, outcome: "ignored" },
    ],
    believed: "i-2 ready",
  },
  {
    name: "a leaving that arrives before any heartbeat is remembered",
    steps: [
      { depart: { identity: "i-1", startedAt: 1_000 }, outcome: "ignored" },
      { report: { sequence: 3 }, outcome: "ignored" },
    ],
    believed: "none",
  },
];

describe("what a gate believes about its instance", () => {
  for (const { name, steps, believed } of CASES) {
    test(name, () => {
      const register = createInstanceRegister();
      for (const step of steps) {
        const outcome = "report" in step
          ? register.report(report(step.report))
          : register.depart(step.depart);
        assert.equal(outcome.type, step.outcome);
      }
      const { instance } = register;
      assert.equal(
        instance === undefined
          ? "none"
          : `${instance.identity} ${instance.state}`,
        believed,
      );
    });
  }

  test("a restarted daemon learns from a peer that its instance is leaving", () => {
    const before = createInstanceRegister();
    before.report(report({ sequence: 1 }));
    before.report(report({ sequence: 2, state: "draining" }));
    const restarted = createInstanceRegister();
    restarted.report(report({ sequence: 1 }));
    restarted.recall(before.departed);
    assert.equal(restarted.instance?.state, "draining");
  });
});
