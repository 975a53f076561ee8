import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../base/common/clock.ts";
import { createEmitter } from "../../base/common/emitter.ts";
import { SILENT_LOG } from "../../base/common/event_log.ts";
import { rankByRendezvous } from "../../base/common/hashing.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import { Ok } from "../../base/common/result.ts";
import { PausableClock } from "../../features/admission/common/pausable_clock.ts";
import type { FleetMember } from "../../features/fleet/common/fleet.ts";
import type { CallRecord, Gate } from "../../features/gate/common/gate.ts";
import type { MeshStore } from "../../features/operator/common/mesh_store.ts";
import { createRolloutControl } from "./rollout_control.ts";

const OFFSET = 4;
const DURATION_MS: Milliseconds = 16_000;
const HEARTBEAT_MS: Milliseconds = 100;
const OVERDUE_MS: Milliseconds = 650;
const TARGET_HOST = {
  host: "target",
  status: {
    instance: { service: "booking", version: "v2", isServing: true },
    evidence: [],
  },
  receivedAt: 0,
} as unknown as FleetMember;

interface Case {
  readonly name: string;
  /** The step and the time at which the daemon is paused, and for how long. */
  readonly step: number;
  readonly share: number;
  readonly pausedAt: Milliseconds;
  readonly pause: Milliseconds;
}

const CASES: readonly Case[] = [
  {
    name: "at the first share, until the whole share was planned",
    step: 0,
    share: 0.03,
    pausedAt: 2_000,
    pause: 8_000,
  },
  {
    name: "at the first share, until two instances were planned",
    step: 0,
    share: 0.03,
    pausedAt: 6_000,
    pause: 1_000,
  },
  {
    name: "at the whole share, until it could complete",
    step: 4,
    share: 1,
    pausedAt: 10_000,
    pause: 5_000,
  },
];

// Guards against a daemon that leads after a pause because it has not read yet what the others have sent.
describe("a daemon that does not lead takes no step of a rollout after a pause", () => {
  for (const { name, step, share, pausedAt, pause } of CASES) {
    test(name, async () => {
      const base = new VirtualClock();
      const clock = new PausableClock(base);
      const [leader, self] = rankByRendezvous("rollout-leader", ["a", "b"]);
      let lastHeardAt = 0;
      let announced = 0;
      const written: string[] = [];
      // After a pause, the timers of a process run before its sockets are read.
      base.repeat(HEARTBEAT_MS, () => {
        lastHeardAt = clock.isPaused ? lastHeardAt : base.now();
      });
      const control = createRolloutControl({
        self: { host: self },
        clock,
        log: SILENT_LOG,
        store: {
          locate: (position: number) => ({ era: 0, offset: position }),
          readRolloutStatuses: () =>
            Promise.resolve(Ok({ statuses: [], position: 0 })),
          writeRolloutStatus({ state }: { readonly state: string }) {
            written.push(state);
            return Promise.resolve(Ok("written" as const));
          },
        } as unknown as MeshStore,
        gate: {
          instance: undefined,
          overdue: [],
          onCallCompleted: createEmitter<CallRecord>().event,
        } as unknown as Gate,
        sync: { reachesStore: true },
        members: () => [TARGET_HOST],
        coordinators: () => [
          {
            host: self,
            failureDomain: "east",
            isAvailable: true,
            isReachable: true,
          },
          {
            host: leader,
            failureDomain: "west",
            isAvailable: base.now() - lastHeardAt <= OVERDUE_MS,
            isReachable: base.now() - lastHeardAt <= OVERDUE_MS,
          },
        ],
        isStopping: () => false,
        onProgress: () => void (announced += 1),
        onProgressReceived() {},
      });
      const settle = async (duration: Milliseconds) => {
        for (let elapsed = 0; elapsed < duration; elapsed += 100) {
          base.advance(100);
          await new Promise((resolve) => setImmediate(resolve));
        }
      };
      control.addOrder({
        service: "booking",
        targetVersion: "v2",
        durationMilliseconds: DURATION_MS,
      }, { offset: OFFSET, mayPredateStart: false });
      control.mergeProgress([{
        service: "booking",
        targetVersion: "v2",
        orderOffset: OFFSET,
        step,
        share,
        state: "running",
        isStored: false,
      }]);
      await settle(pausedAt);
      clock.isPaused = true;
      await settle(pause);
      clock.resume();
      await settle(1_000);
      const progress = control.registry.find("booking");
      assert.deepEqual(
        {
          step: progress?.step,
          share: progress?.share,
          state: progress?.state,
          announced,
          written,
        },
        { step, share, state: "running", announced: 0, written: [] },
      );
      control.dispose();
    });
  }
});
