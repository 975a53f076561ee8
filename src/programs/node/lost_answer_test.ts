import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../base/common/clock.ts";
import { createEmitter } from "../../base/common/emitter.ts";
import { type EventLog, SILENT_LOG } from "../../base/common/event_log.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import { Err, Ok, type Result } from "../../base/common/result.ts";
import { StepError } from "../../base/common/step_error.ts";
import type { Fleet } from "../../features/fleet/common/fleet.ts";
import type { CallRecord, Gate } from "../../features/gate/common/gate.ts";
import type { LinkTarget } from "../../features/link/common/peer_network.ts";
import type {
  MeshStore,
  RolloutStatus,
} from "../../features/operator/common/mesh_store.ts";
import type { DepartedInstance } from "../../world/common/mesh_instance.ts";
import { registerHost } from "./host_registration.ts";
import { createHostRewrite } from "./host_rewrite.ts";
import { createRolloutControl } from "./rollout_control.ts";

const TARGET: LinkTarget = { host: "a", address: "127.0.0.1", port: 7 };
const DEPARTURE: DepartedInstance = { identity: "i", startedAt: 5 };
const PERIOD_MS = 60_000;
const STEP_MS = 100;

/** What happens to the first writes and reads; later ones succeed. */
interface Faults {
  readonly writes: readonly ("lost answer" | "not done" | "refused")[];
  readonly failedReads?: number;
}

interface LostAnswerCase extends Faults {
  readonly name: string;
  readonly expectedWrites: number;
  /** How often the write may be reported as failed. */
  readonly expectedFailures: number;
}

const CASES: readonly LostAnswerCase[] = [
  {
    name: "was done is not repeated",
    writes: ["lost answer"],
    expectedWrites: 1,
    expectedFailures: 0,
  },
  {
    name: "was done is not repeated when the store cannot be read at first",
    writes: ["lost answer"],
    failedReads: 2,
    expectedWrites: 1,
    expectedFailures: 2,
  },
  {
    name: "was not done is repeated",
    writes: ["not done"],
    expectedWrites: 2,
    expectedFailures: 1,
  },
  {
    name: "was refused is repeated",
    writes: ["refused"],
    expectedWrites: 2,
    expectedFailures: 1,
  },
  {
    name: "has lost its answer twice is repeated once",
    writes: ["not done", "lost answer"],
    expectedWrites: 2,
    expectedFailures: 1,
  },
];

function createFaults({ writes, failedReads = 0 }: Faults) {
  const counts = { writes: 0, reads: 0, failures: 0 };
  const fail = (outcome: "unknown" | "not-run") =>
    Err(new StepError("store", "failed", { outcome }));
  const log: EventLog = {
    ...SILENT_LOG,
    write(level) {
      counts.failures += level === "warn" ? 1 : 0;
    },
  };
  return {
    counts,
    log,
    write(apply: () => void): Result<void, StepError> {
      const fault = writes.at(counts.writes);
      counts.writes += 1;
      if (fault === undefined || fault === "lost answer") {
        apply();
      }
      return fault === undefined
        ? Ok(undefined)
        : fail(fault === "refused" ? "not-run" : "unknown");
    },
    read<T>(value: T): Result<T, StepError> {
      counts.reads += 1;
      return counts.reads <= failedReads ? fail("not-run") : Ok(value);
    },
  };
}

async function advance(clock: VirtualClock): Promise<void> {
  for (let elapsed = 0; elapsed < PERIOD_MS; elapsed += STEP_MS) {
    clock.advance(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

// Guards against a write that is done twice, or reported as failed although the store has it.
describe("the address of a host whose write", () => {
  for (const each of CASES) {
    test(each.name, async () => {
      const clock = new VirtualClock();
      const { counts, log, write, read } = createFaults(each);
      const targets: LinkTarget[] = [];
      const registered = registerHost({
        clock,
        random: createRandomSource(1),
        log,
        store: {
          announceHost: (target: LinkTarget) =>
            Promise.resolve(write(() => targets.push(target))),
          readHosts: () => Promise.resolve(read({ targets, departed: [] })),
        } as unknown as MeshStore,
        fleet: { addListedHosts() {} } as unknown as Fleet,
        target: TARGET,
        onDepartedRead() {},
        isStopped: () => false,
      });
      await advance(clock);
      await registered;
      assert.equal(counts.writes, each.expectedWrites);
      assert.equal(counts.failures, each.expectedFailures);
      assert.deepEqual(targets, [TARGET]);
    });
  }
});

describe("the address and the departures that are written again, and whose write", () => {
  for (const each of CASES) {
    test(each.name, async () => {
      const clock = new VirtualClock();
      const { counts, log, write, read } = createFaults(each);
      // Departures of an earlier time do not prove that the write was done.
      let departed: readonly DepartedInstance[] = [];
      const rewritten = createHostRewrite({
        clock,
        random: createRandomSource(1),
        log,
        store: {
          rewriteHost: (_target, departures) =>
            Promise.resolve(write(() => {
              departed = departures;
            })),
          readHosts: () =>
            Promise.resolve(read({ targets: [TARGET], departed })),
        },
        target: TARGET,
        countHosts: () => 1,
        departed: () => [DEPARTURE],
        isStopped: () => false,
      })();
      await advance(clock);
      await rewritten;
      assert.equal(counts.writes, each.expectedWrites);
      assert.equal(counts.failures, each.expectedFailures);
      assert.deepEqual(departed, [DEPARTURE]);
    });
  }
});

describe("the status of a rollout whose write", () => {
  for (const each of CASES) {
    test(each.name, async () => {
      const clock = new VirtualClock(1_000);
      const { counts, write, read } = createFaults({
        ...each,
        failedReads: undefined,
      });
      const stored: RolloutStatus[] = [];
      let failedReads = 0;
      const control = createRolloutControl({
        self: { host: "a" },
        clock,
        log: SILENT_LOG,
        store: {
          locate: (position: number) => ({ era: 0, offset: position }),
          readRolloutStatuses() {
            // The status is read before it is written for the first time.
            if (counts.writes > 0 && failedReads < (each.failedReads ?? 0)) {
              failedReads += 1;
              return Promise.resolve(
                Err(new StepError("store", "failed", { outcome: "not-run" })),
              );
            }
            return Promise.resolve(
              read({ statuses: [...stored], position: stored.length }),
            );
          },
          writeRolloutStatus: (status: RolloutStatus) =>
            Promise.resolve(
              write(() => stored.push(status)).map(() => "written" as const),
            ),
        } as unknown as MeshStore,
        gate: {
          instance: undefined,
          overdueCalls: [],
          onCallCompleted: createEmitter<CallRecord>().event,
        } as unknown as Gate,
        sync: { reachesStore: true },
        members: () => [],
        coordinators: () => [{
          host: "a",
          failureDomain: "east",
          isAvailable: true,
          isReachable: true,
        }],
        isStopping: () => false,
        onProgress() {},
        onProgressReceived() {},
      });
      control.addOrder(
        { service: "s", targetVersion: "v2", durationMilliseconds: 16_000 },
        { offset: 4, mayPredateStart: false },
      );
      await advance(clock);
      assert.equal(counts.writes, each.expectedWrites);
      assert.deepEqual(stored, [
        { service: "s", targetVersion: "v2", state: "running" },
      ]);
      control.dispose();
    });
  }
});
