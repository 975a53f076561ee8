import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/common/message_codec.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import { createInstanceTracker } from "./instance_tracker.ts";

const HEARTBEAT_MS = 1_000;
const KNOWN_SERVICES = ["booking", "billing"];

function createFixtureTracker(services: readonly string[] = KNOWN_SERVICES) {
  return createInstanceTracker({
    isKnownService: (service) => services.includes(service),
    clock: new VirtualClock(),
    heartbeatMilliseconds: HEARTBEAT_MS,
  });
}

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
    readonly depart: {
      identity: string;
      startedAt: number | undefined;
      receivedAt?: number;
    };
    readonly outcome: string;
  };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly expected: string;
}

const CASES: readonly Case[] = [
  {
    name: "a repeated or late heartbeat changes nothing",
    steps: [
      { report: { sequence: 5 }, outcome: "new" },
      { report: { sequence: 5, state: "draining" }, outcome: "ignored" },
      { report: { sequence: 4 }, outcome: "ignored" },
    ],
    expected: "i-1 ready",
  },
  {
    name: "an instance that drains does not become ready again",
    steps: [
      { report: { sequence: 1 }, outcome: "new" },
      { report: { sequence: 2, state: "draining" }, outcome: "changed" },
      { report: { sequence: 3 }, outcome: "ignored" },
    ],
    expected: "i-1 draining",
  },
  {
    name: "a heartbeat delayed until after the departure is ignored",
    steps: [
      { report: { sequence: 1 }, outcome: "new" },
      { depart: { identity: "i-1", startedAt: 1_000 }, outcome: "changed" },
      { report: { sequence: 9 }, outcome: "ignored" },
    ],
    expected: "i-1 gone",
  },
  {
    name: "a restart with the same identity counts as a new instance",
    steps: [
      { report: { sequence: 9 }, outcome: "new" },
      { depart: { identity: "i-1", startedAt: 1_000 }, outcome: "changed" },
      { report: { sequence: 1, startedAt: 2_000 }, outcome: "new" },
    ],
    expected: "i-1 ready",
  },
  {
    name:
      "a delayed heartbeat of the crashed predecessor does not replace its successor",
    steps: [
      { report: { sequence: 7 }, outcome: "new" },
      { report: { identity: "i-2", startedAt: 2_000 }, outcome: "new" },
      { report: { sequence: 8 }, outcome: "ignored" },
    ],
    expected: "i-2 ready",
  },
  // Guards against an instance that is shut out by a message that names no instance to use.
  ...["ready" as const, "draining" as const].flatMap((state) =>
    ["i-1", "i-2"].map((identity) => ({
      name:
        `a ${state} report of ${identity} with an unknown service changes nothing`,
      steps: [
        { report: { sequence: 5 }, outcome: "new" },
        {
          report: {
            identity,
            state,
            service: "other",
            startedAt: 9_000,
            sequence: 9,
          },
          outcome: "ignored",
        },
        { report: { sequence: 6 }, outcome: "unchanged" },
      ],
      expected: "i-1 ready",
    }))
  ),
  {
    name: "an unknown service before any other report changes nothing",
    steps: [
      {
        report: { identity: "i-2", service: "other", startedAt: 9_000 },
        outcome: "ignored",
      },
      { report: { sequence: 5 }, outcome: "new" },
    ],
    expected: "i-1 ready",
  },
  {
    name: "a later start of another known service replaces the instance",
    steps: [
      { report: { sequence: 5 }, outcome: "new" },
      {
        report: { identity: "i-2", service: "billing", startedAt: 9_000 },
        outcome: "new",
      },
      { report: { sequence: 6 }, outcome: "ignored" },
    ],
    expected: "i-2 ready",
  },
  {
    name: "a departure that arrives before any heartbeat is kept",
    steps: [
      { depart: { identity: "i-1", startedAt: 1_000 }, outcome: "ignored" },
      { report: { sequence: 3 }, outcome: "ignored" },
    ],
    expected: "none",
  },
  {
    name:
      "a departure without a start time that arrives before any heartbeat does not shut out a later start with the same identity",
    steps: [
      { depart: { identity: "i-1", startedAt: undefined }, outcome: "ignored" },
      { report: { sequence: 3 }, outcome: "ignored" },
      { report: { sequence: 1, startedAt: 6_000 }, outcome: "new" },
    ],
    expected: "i-1 ready",
  },
  // Guards against an identity that is shut out for good.
  {
    name:
      "a departure with a start in the future does not shut out later starts",
    steps: [
      {
        depart: { identity: "i-1", startedAt: 90_000_000 },
        outcome: "ignored",
      },
      { report: { startedAt: 64_000 }, outcome: "ignored" },
      { report: { startedAt: 66_000 }, outcome: "new" },
    ],
    expected: "i-1 ready",
  },
  {
    name: "a departure counts although the clock of the host was set back",
    steps: [
      { report: { startedAt: 90_000_000 }, outcome: "new" },
      {
        depart: { identity: "i-1", startedAt: 90_000_000 },
        outcome: "changed",
      },
      { report: { startedAt: 90_000_000, sequence: 2 }, outcome: "ignored" },
    ],
    expected: "i-1 gone",
  },
  {
    name: "a departure without a start time is that of the present start",
    steps: [
      { report: { sequence: 1 }, outcome: "new" },
      { depart: { identity: "i-1", startedAt: undefined }, outcome: "changed" },
      { report: { sequence: 2 }, outcome: "ignored" },
      { report: { sequence: 1, startedAt: 2_000 }, outcome: "new" },
    ],
    expected: "i-1 ready",
  },
];

// Guards against an instance that stays shut out, or in use, after a configuration names other services.
describe("the tracked instance when services change", () => {
  const later = { identity: "i-2", service: "later", startedAt: 9_000 };

  test("is one of a service that is named only after its first report", () => {
    const services = ["booking"];
    const tracker = createFixtureTracker(services);
    tracker.applyReport(report({ sequence: 1 }));
    assert.equal(tracker.applyReport(report(later)).type, "ignored");
    services.push("later");
    assert.equal(
      tracker.applyReport(report({ ...later, sequence: 2 })).type,
      "new",
    );
    assert.equal(tracker.instance?.identity, "i-2");
  });

  test("gives way to an earlier start once its service is removed", () => {
    const services = ["booking", "later"];
    const tracker = createFixtureTracker(services);
    tracker.applyReport(report({ sequence: 1 }));
    tracker.applyReport(report(later));
    services.pop();
    assert.equal(tracker.applyReport(report({ sequence: 2 })).type, "new");
    assert.equal(tracker.instance?.identity, "i-1");
  });

  test("may announce its departure after its service is removed", () => {
    const services = ["later"];
    const tracker = createFixtureTracker(services);
    tracker.applyReport(report(later));
    services.pop();
    const draining = report({ ...later, sequence: 2, state: "draining" });
    assert.equal(tracker.applyReport(draining).type, "changed");
    services.push("later");
    assert.equal(
      tracker.applyReport(report({ ...later, sequence: 3 })).type,
      "ignored",
    );
  });
});

describe("the tracked state of an instance", () => {
  for (const { name, steps, expected } of CASES) {
    test(name, () => {
      const tracker = createFixtureTracker();
      for (const step of steps) {
        const outcome = "report" in step
          ? tracker.applyReport(report(step.report))
          : tracker.applyDeparture({ receivedAt: 5_000, ...step.depart });
        assert.equal(outcome.type, step.outcome);
      }
      const { instance } = tracker;
      assert.equal(
        instance === undefined
          ? "none"
          : `${instance.identity} ${instance.state}`,
        expected,
      );
    });
  }

  test("a departure without a start time is known after a restart, also through the codec of the links", () => {
    const before = createFixtureTracker();
    before.applyDeparture({
      identity: "i-1",
      startedAt: undefined,
      receivedAt: 5_000,
    });
    const restarted = createFixtureTracker();
    const { departed } = decodeMessage(
      encodeMessage({ departed: before.departed }),
      "test",
    ).unwrap() as Pick<typeof before, "departed">;
    restarted.restoreDepartures(departed);
    assert.equal(
      restarted.applyReport(report({ sequence: 1 })).type,
      "ignored",
    );
    assert.equal(
      restarted.applyReport(report({ sequence: 1, startedAt: 6_000 })).type,
      "new",
    );
  });

  test("a restarted daemon restores the departure of its instance from a peer", () => {
    const before = createFixtureTracker();
    before.applyReport(report({ sequence: 1 }));
    before.applyReport(report({ sequence: 2, state: "draining" }));
    const restarted = createFixtureTracker();
    restarted.applyReport(report({ sequence: 1 }));
    restarted.restoreDepartures(before.departed);
    assert.equal(restarted.instance?.state, "draining");
  });
});
