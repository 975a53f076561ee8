import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../base/common/clock.ts";
import { createEmitter } from "../../base/common/emitter.ts";
import { SILENT_LOG } from "../../base/common/event_log.ts";
import { Ok } from "../../base/common/result.ts";
import type { Coordinator } from "../../features/fleet/common/coordinators.ts";
import type { CallRecord, Gate } from "../../features/gate/common/gate.ts";
import type {
  MeshStore,
  RolloutStatus,
} from "../../features/operator/common/mesh_store.ts";
import { createRolloutRegistry } from "../../features/rollout/common/rollout_registry.ts";
import type { RolloutProgress } from "../../features/rollout/common/rollout_progress.ts";
import { createRolloutControl } from "./rollout_control.ts";

const OFFSETS_PER_ERA = 1_000;
const OLD_OFFSET = 4;
const NEW_OFFSET = OFFSETS_PER_ERA + 4;
const getEra = (offset: number) => Math.floor(offset / OFFSETS_PER_ERA);
const ORDER = {
  service: "booking",
  targetVersion: "v2",
  durationMilliseconds: 16_000,
};
const PROGRESS: RolloutProgress = {
  service: "booking",
  targetVersion: "v2",
  orderOffset: OLD_OFFSET,
  step: 2,
  share: 0.5,
  state: "running",
  isStored: false,
};
const SELF: Coordinator = {
  host: "a",
  failureDomain: "east",
  isAvailable: true,
  isReachable: true,
};

/** Starts a leader with a store that has these statuses and counts the calls. */
function startLeader(stored: RolloutStatus[]) {
  const clock = new VirtualClock(100_000);
  const calls = { reads: 0, writes: 0 };
  const control = createRolloutControl({
    self: { host: "a" },
    clock,
    log: SILENT_LOG,
    store: {
      locate: (position: number) => ({
        era: getEra(position),
        offset: position % OFFSETS_PER_ERA,
      }),
      readRolloutStatuses() {
        calls.reads += 1;
        return Promise.resolve(Ok({ statuses: [...stored], position: 0 }));
      },
      writeRolloutStatus(status: RolloutStatus) {
        calls.writes += 1;
        stored.splice(0, stored.length, status);
        return Promise.resolve(Ok("written" as const));
      },
    } as unknown as MeshStore,
    gate: {
      instance: undefined,
      overdueCalls: [],
      onCallCompleted: createEmitter<CallRecord>().event,
    } as unknown as Gate,
    sync: { reachesStore: true },
    members: () => [],
    coordinators: () => [SELF],
    isStopping: () => false,
    onProgress() {},
    onProgressReceived() {},
  });
  return {
    control,
    calls,
    async run() {
      for (let step = 0; step < 10; step += 1) {
        clock.advance(200);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}

// Guards against a rollout that starts again because the store gave its order another offset, and against a status
// that the operator never sees because the store has lost it.
describe("a leader whose store comes back from an older copy", () => {
  const cases = [
    {
      name: "writes the lost status of a rollout that is over again",
      progress: { ...PROGRESS, state: "complete", isStored: true },
      stored: [],
      mayPredateStart: true,
      writes: 1,
    },
    {
      name: "writes the lost status when only the order is written again",
      progress: { ...PROGRESS, state: "reverted", isStored: true },
      stored: [],
      mayPredateStart: false,
      writes: 1,
    },
    {
      name: "writes the lost status of a running rollout again",
      progress: PROGRESS,
      stored: [],
      mayPredateStart: true,
      writes: 1,
    },
    {
      name: "writes the lost status after another daemon has gone a step on",
      progress: PROGRESS,
      reported: { step: 3 },
      stored: [],
      mayPredateStart: true,
      writes: 1,
    },
    {
      name: "writes a final status over an older one",
      progress: { ...PROGRESS, state: "complete", isStored: true },
      stored: [{ service: "booking", targetVersion: "v2", state: "running" }],
      mayPredateStart: true,
      writes: 1,
    },
    {
      name: "writes no status that the copy has",
      progress: { ...PROGRESS, state: "complete", isStored: true },
      stored: [{ service: "booking", targetVersion: "v2", state: "complete" }],
      mayPredateStart: true,
      writes: 0,
    },
  ] as const;
  for (const each of cases) {
    const { name, progress, stored, mayPredateStart, writes } = each;
    const reported = "reported" in each ? each.reported : {};
    test(name, async () => {
      const statuses: RolloutStatus[] = [...stored];
      const { control, calls, run } = startLeader(statuses);
      control.addOrder(ORDER, { offset: OLD_OFFSET, mayPredateStart: true });
      control.mergeProgress([progress]);
      await run();
      const before = { ...calls };
      statuses.splice(0, statuses.length, ...stored);
      // Other daemons may have read the order in the new era before this one.
      control.mergeProgress([{
        ...progress,
        ...reported,
        orderOffset: NEW_OFFSET,
        isStored: false,
      }]);
      control.addOrder(ORDER, { offset: NEW_OFFSET, mayPredateStart });
      await run();
      const found = control.registry.find("booking");
      assert.equal(found?.step, { ...progress, ...reported }.step);
      assert.equal(found?.state, progress.state);
      assert.equal(statuses[0].state, progress.state);
      assert.equal(calls.writes - before.writes, writes);
      assert.equal(calls.reads - before.reads, 1);
      control.dispose();
    });
  }
});

// Guards against a rollout that ends at once because the store lost its first status and has that of an earlier rollout to
// the same version again.
for (const isReportedFirst of [false, true]) {
  test(`a running rollout does not take the final status of an earlier one from the copy${isReportedFirst ? ", reported first" : ""}`, async () => {
    const earlier = [
      { service: "booking", targetVersion: "v2", state: "reverted" },
    ] as const;
    const statuses: RolloutStatus[] = [...earlier];
    const { control, run } = startLeader(statuses);
    control.addOrder(ORDER, { offset: OLD_OFFSET, mayPredateStart: false });
    await run();
    assert.equal(statuses[0].state, "running");
    statuses.splice(0, statuses.length, ...earlier);
    if (isReportedFirst) {
      control.mergeProgress([{ ...PROGRESS, orderOffset: NEW_OFFSET }]);
    }
    control.addOrder(ORDER, { offset: NEW_OFFSET, mayPredateStart: true });
    await run();
    assert.equal(control.registry.find("booking")?.state, "running");
    assert.equal(statuses[0].state, "running");
    control.dispose();
  });
}

describe("progress across eras of the store", () => {
  const cases: readonly {
    readonly name: string;
    readonly received: Partial<RolloutProgress>;
    readonly expected: Partial<RolloutProgress>;
  }[] = [
    {
      name: "a daemon that has started in the new era sets nothing back",
      received: {
        orderOffset: NEW_OFFSET,
        step: -1,
        share: 0,
        state: "running",
      },
      expected: { orderOffset: NEW_OFFSET, step: 2, state: "complete" },
    },
    {
      name: "a later step of the new era is taken",
      received: { orderOffset: NEW_OFFSET, step: 3, share: 1 },
      expected: { orderOffset: NEW_OFFSET, step: 3, state: "complete" },
    },
    {
      name: "a verdict of the new era is taken",
      received: { orderOffset: NEW_OFFSET, state: "reverted" },
      expected: { orderOffset: NEW_OFFSET, step: 2, state: "reverted" },
    },
    {
      name: "an older order of the copy does not replace a newer one",
      received: { orderOffset: NEW_OFFSET, targetVersion: "v1", step: -1 },
      expected: { orderOffset: OLD_OFFSET, targetVersion: "v2", step: 2 },
    },
  ];
  for (const { name, received, expected } of cases) {
    test(name, () => {
      const registry = createRolloutRegistry({ getEra });
      registry.addOrder(ORDER, OLD_OFFSET, 0);
      registry.mergeProgress(
        { ...PROGRESS, state: "complete", isStored: true },
        0,
      );
      registry.mergeProgress({ ...PROGRESS, ...received }, 1);
      const { orderOffset, targetVersion, step, state } = registry.find(
        "booking",
      )!;
      assert.deepEqual(
        { orderOffset, targetVersion, step, state },
        { targetVersion: "v2", state: "complete", ...expected },
      );
    });
  }

  test("what a daemon of the older era knows to be stored does not count", () => {
    const registry = createRolloutRegistry({ getEra });
    registry.addOrder(ORDER, NEW_OFFSET, 0);
    registry.mergeProgress(
      { ...PROGRESS, state: "complete", isStored: true },
      1,
    );
    const { state, isStored, orderOffset } = registry.find("booking")!;
    assert.deepEqual({ state, isStored, orderOffset }, {
      state: "complete",
      isStored: false,
      orderOffset: NEW_OFFSET,
    });
  });

  test("an order with another version, or written again in the same era, is a new one", () => {
    const registry = createRolloutRegistry({ getEra });
    registry.addOrder(ORDER, OLD_OFFSET, 0);
    registry.mergeProgress({ ...PROGRESS, state: "complete" }, 0);
    assert.equal(registry.addOrder(ORDER, NEW_OFFSET, 1), false);
    assert.equal(registry.addOrder(ORDER, NEW_OFFSET + 1, 2), true);
    assert.equal(registry.find("booking")?.step, -1);
    const other = { ...ORDER, targetVersion: "v3" };
    assert.equal(registry.addOrder(other, 2 * OFFSETS_PER_ERA, 3), true);
  });
});
