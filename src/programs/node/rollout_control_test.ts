import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../base/common/clock.ts";
import { createEmitter } from "../../base/common/emitter.ts";
import { SILENT_LOG } from "../../base/common/event_log.ts";
import { Ok } from "../../base/common/result.ts";
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
const TOLD: RolloutProgress = {
  service: "booking",
  targetVersion: "v2",
  orderOffset: OFFSET,
  step: -1,
  share: 0,
  state: "running",
  isStored: false,
};

/** A daemon that leads, and the statuses that it reads and writes. */
function startLeader(stored: RolloutStatus[]) {
  const clock = new VirtualClock();
  const control = createRolloutControl({
    self: { host: "a" },
    clock,
    log: SILENT_LOG,
    store: {
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
    members: () => [],
    isStopping: () => false,
    onProgress() {},
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

// Guards against a rollout that starts again after all daemons have restarted: the old instances
// are gone by then, and a verdict against the only version would refuse every call.
describe("the leader reads that a rollout had ended before it started", () => {
  const cases = [
    { name: "the order is read first", isToldFirst: false },
    { name: "a peer tells of the rollout first", isToldFirst: true },
  ];
  for (const { name, isToldFirst } of cases) {
    test(name, async () => {
      const stored: RolloutStatus[] = [
        { service: "booking", targetVersion: "v2", state: "complete" },
      ];
      const { control, run } = startLeader(stored);
      if (isToldFirst) {
        control.mergeProgress([TOLD]);
      }
      control.takeOrder(ORDER, { offset: OFFSET, isInherited: true });
      await run();
      assert.equal(control.book.find("booking")?.state, "complete");
      assert.equal(stored.length, 1);
      control.dispose();
    });
  }

  test("a new order for the same version runs", async () => {
    const stored: RolloutStatus[] = [
      { service: "booking", targetVersion: "v2", state: "complete" },
    ];
    const { control, run } = startLeader(stored);
    control.takeOrder(ORDER, { offset: OFFSET, isInherited: true });
    await run();
    control.takeOrder(ORDER, { offset: OFFSET + 1, isInherited: false });
    await run();
    assert.equal(control.book.find("booking")?.state, "running");
    assert.equal(stored.at(-1)?.state, "running");
    control.dispose();
  });
});
