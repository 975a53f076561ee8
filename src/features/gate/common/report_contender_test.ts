import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import { createFixtureReport } from "./gate_fixture.ts";
import { createInstanceTracker } from "./instance_tracker.ts";

const HEARTBEAT_MS = 1_000;
const REAL: InstanceReport = {
  ...createFixtureReport({ port: 1, slots: 4 }),
  startedAt: 1_000,
};

interface Case {
  readonly name: string;
  /** A report that arrives 0.1 s after one of the real instance. */
  readonly odd: Partial<InstanceReport>;
  /** When the reports after it arrive; those of the real instance unless others are given. */
  readonly later: readonly {
    readonly at: number;
    readonly report?: Partial<InstanceReport>;
  }[];
  /** The instance that is in use at the end: its identity, state and address. */
  readonly expected: string;
}

const EVERY_SECOND = [1, 2, 3, 4, 5].map((second) => ({
  at: second * HEARTBEAT_MS,
}));

// Guards against an instance that one report shuts out until its daemon restarts.
describe("an instance whose reports are ignored", () => {
  const cases: readonly Case[] = [
    {
      name: "is used again after one report with a start in the future",
      odd: { identity: "i-odd", startedAt: 9_000_000 },
      later: EVERY_SECOND,
      expected: "i-1 ready 127.0.0.1:1",
    },
    {
      name: "is used again after one report with a very high sequence number",
      odd: { sequence: 1_000_000, address: "127.0.0.1:2" },
      later: EVERY_SECOND,
      expected: "i-1 ready 127.0.0.1:1",
    },
    {
      name: "is not used while the one that replaced it reports",
      odd: { identity: "i-2", startedAt: 2_000 },
      later: EVERY_SECOND.flatMap(({ at }, index) => [
        { at },
        {
          at: at + 500,
          report: { identity: "i-2", startedAt: 2_000, sequence: index + 2 },
        },
      ]),
      expected: "i-2 ready 127.0.0.1:1",
    },
    {
      name: "is not used after some reports that were delayed together",
      odd: { identity: "i-2", startedAt: 2_000 },
      later: [5_000, 5_010, 5_020, 5_030].map((at) => ({ at })),
      expected: "i-2 ready 127.0.0.1:1",
    },
    {
      name: "is not used after reports that repeat each other",
      odd: { identity: "i-2", startedAt: 2_000 },
      later: EVERY_SECOND.map(({ at }) => ({ at, report: { sequence: 1 } })),
      expected: "i-2 ready 127.0.0.1:1",
    },
    {
      name: "is not used after its departure",
      odd: { state: "draining", sequence: 2 },
      later: EVERY_SECOND,
      expected: "i-1 draining 127.0.0.1:1",
    },
  ];
  for (const { name, odd, later, expected } of cases) {
    test(name, () => {
      const clock = new VirtualClock();
      const tracker = createInstanceTracker({
        isKnownService: () => true,
        clock,
        heartbeatMilliseconds: HEARTBEAT_MS,
      });
      tracker.applyReport(REAL);
      clock.advance(100);
      tracker.applyReport({ ...REAL, sequence: 2, ...odd });
      let sequence = 2;
      for (const { at, report } of later) {
        clock.advance(at - clock.now());
        sequence += 1;
        tracker.applyReport({ ...REAL, sequence, ...report });
      }
      const { instance } = tracker;
      assert.equal(
        `${instance?.identity} ${instance?.state} ${instance?.address}`,
        expected,
      );
    });
  }
});
