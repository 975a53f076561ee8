import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../base/common/clock.ts";
import { createEmitter } from "../../base/common/emitter.ts";
import { SILENT_LOG } from "../../base/common/event_log.ts";
import { Ok } from "../../base/common/result.ts";
import { rankByRendezvous } from "../../base/common/hashing.ts";
import type { Coordinator } from "../../features/fleet/common/coordinators.ts";
import type { FleetMember } from "../../features/fleet/common/fleet.ts";
import type { CallRecord, Gate } from "../../features/gate/common/gate.ts";
import type {
  MeshStore,
  RolloutStatus,
} from "../../features/operator/common/mesh_store.ts";
import type { RolloutProgress } from "../../features/rollout/common/rollout_progress.ts";
import { createRolloutControl } from "./rollout_control.ts";

const ORDER = {
  service: "booking",
  targetVersion: "v2",
  durationMilliseconds: 16_000,
};
const OFFSET = 4;
const START_MS = 100_000;
const PEER_PROGRESS: RolloutProgress = {
  service: "booking",
  targetVersion: "v2",
  orderOffset: OFFSET,
  step: -1,
  share: 0,
  state: "running",
  isStored: false,
};

const SELF: Coordinator = {
  host: "a",
  failureDomain: "east",
  isAvailable: true,
  isReachable: true,
};

/** Starts the rollout control of a leader that reads and writes these statuses. */
function startLeader(
  stored: RolloutStatus[],
  coordinators: readonly Coordinator[] = [SELF],
  members: readonly FleetMember[] = [],
) {
  const clock = new VirtualClock(START_MS);
  const control = createRolloutControl({
    self: { host: "a" },
    clock,
    log: SILENT_LOG,
    store: {
      locate: (position: number) => ({ era: 0, offset: position }),
      readRolloutStatuses: () =>
        Promise.resolve(Ok({ statuses: stored, position: stored.length })),
      writeRolloutStatus(status: RolloutStatus) {
        stored.push(status);
        return Promise.resolve(Ok("written" as const));
      },
    } as unknown as MeshStore,
    gate: {
      instance: undefined,
      overdue: [],
      onCallCompleted: createEmitter<CallRecord>().event,
    } as unknown as Gate,
    sync: { reachesStore: true },
    members: () => members,
    coordinators: () => coordinators,
    isStopping: () => false,
    onProgress() {},
    onProgressReceived() {},
  });
  return {
    control,
    async run() {
      for (let step = 0; step < 10; step += 1) {
        clock.advance(200);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}

// Guards against a rollout that runs again after all daemons have restarted. The instances of the old
// version are gone by then, so reverting the only remaining version would refuse every call.
describe("a leader that starts after a rollout ended reads this from the store", () => {
  const cases = [
    { name: "the order is read first", isProgressFirst: false },
    { name: "a peer reports its progress first", isProgressFirst: true },
  ];
  for (const { name, isProgressFirst } of cases) {
    test(name, async () => {
      const stored: RolloutStatus[] = [
        { service: "booking", targetVersion: "v2", state: "complete" },
      ];
      const { control, run } = startLeader(stored);
      if (isProgressFirst) {
        control.mergeProgress([PEER_PROGRESS]);
      }
      control.addOrder(ORDER, { offset: OFFSET, mayPredateStart: true });
      await run();
      assert.equal(control.registry.find("booking")?.state, "complete");
      assert.equal(stored.length, 1);
      control.dispose();
    });
  }

  test("a new order for the same version runs", async () => {
    const stored: RolloutStatus[] = [
      { service: "booking", targetVersion: "v2", state: "complete" },
    ];
    const { control, run } = startLeader(stored);
    control.addOrder(ORDER, { offset: OFFSET, mayPredateStart: true });
    await run();
    control.addOrder(ORDER, { offset: OFFSET + 1, mayPredateStart: false });
    await run();
    assert.equal(control.registry.find("booking")?.state, "running");
    assert.equal(stored.at(-1)?.state, "running");
    control.dispose();
  });
});

// Guards against a rollout that stands still while its leader is slow or cut off but not yet lost.
describe("the leader of a rollout", () => {
  const [before] = rankByRendezvous(
    "rollout-leader",
    ["a", ...Array.from({ length: 8 }, (_, index) => `other-${index}`)],
  );
  const cases = [
    { name: "is the first daemon that is available", isAvailable: true },
    {
      name: "is the next one while the first is not available",
      isAvailable: false,
    },
  ];
  for (const { name, isAvailable } of cases) {
    test(name, async () => {
      assert.notEqual(before, "a");
      const stored: RolloutStatus[] = [];
      const { control, run } = startLeader(stored, [SELF, {
        host: before,
        failureDomain: "west",
        isAvailable,
        isReachable: true,
      }]);
      control.addOrder(ORDER, { offset: OFFSET, mayPredateStart: false });
      await run();
      assert.equal(stored.length, isAvailable ? 0 : 1);
      control.dispose();
    });
  }
});

// Guards against a bad version that nobody evaluates because the evidence of a large fleet comes seldom.
describe("an evaluator leaves out the evidence of hosts that are not heard from", () => {
  const cases = [
    { hosts: 200, age: 4_000, isUsed: true },
    { hosts: 200, age: 8_000, isUsed: false },
    { hosts: 1_000, age: 8_000, isUsed: true },
  ];
  for (const { hosts, age, isUsed } of cases) {
    test(`${hosts} hosts, heard from ${age} ms ago`, async () => {
      const members = Array.from({ length: hosts }, (_, index) => {
        const isTarget = index % 10 === 0;
        return {
          host: `host-${index}`,
          status: {
            instance: {
              service: "booking",
              version: isTarget ? "v2" : "v1",
              isServing: true,
            },
            evidence: [{
              route: "lookup",
              calls: 20,
              failures: isTarget ? 10 : 0,
              warmMilliseconds: 0,
              warmCalls: 0,
            }],
          },
          receivedAt: START_MS - age,
        } as unknown as FleetMember;
      });
      const { control, run } = startLeader([], [SELF], members);
      control.addOrder(ORDER, { offset: OFFSET, mayPredateStart: false });
      await run();
      assert.equal(
        control.registry.find("booking")?.state,
        isUsed ? "reverted" : "running",
      );
      control.dispose();
    });
  }
});
