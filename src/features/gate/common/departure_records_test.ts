import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import type {
  DepartedInstance,
  DepartureUpdate,
  InstanceReport,
} from "../../../world/common/mesh_instance.ts";
import {
  createDepartureRecords,
  MAXIMUM_STORED_DEPARTURES,
} from "./departure_records.ts";
import {
  createReadyReportHold,
  MAXIMUM_REPORT_DELAY_MS,
} from "./ready_report_hold.ts";

const STEP_MS: Milliseconds = 10;
const FAILURE = Err(
  new StepError("append", "the store is down", { outcome: "not-run" }),
);
const CONNECTION_RESET = Err(
  new StepError("append", "the connection was reset", { outcome: "unknown" }),
);

function departure(number: number): DepartedInstance {
  return { identity: `i-${number}`, startedAt: number };
}

/** A store that keeps departures; `respond` decides on the n-th write, from 1. */
function createStore(
  clock: VirtualClock,
  respond: (
    write: number,
  ) => {
    readonly after: Milliseconds;
    readonly type: "done" | "fail" | "lose" | "reset" | "reset-before";
  },
  answersReads = true,
) {
  const kept: string[] = [];
  let writes = 0;
  return {
    kept,
    get writes() {
      return writes;
    },
    async read(): Promise<Result<readonly DepartedInstance[], StepError>> {
      await clock.sleep(5);
      return answersReads
        ? Ok(kept.map((identity) => departure(Number(identity.slice(2)))))
        : new Promise(() => {});
    },
    async write(
      { added, removed }: DepartureUpdate,
    ): Promise<Result<void, StepError>> {
      writes += 1;
      const { after, type } = respond(writes);
      await clock.sleep(after);
      if (type === "fail") {
        return FAILURE;
      }
      if (type === "reset-before") {
        return CONNECTION_RESET;
      }
      const removedIdentities = removed.map(({ identity }) => identity);
      kept.splice(
        0,
        kept.length,
        ...kept.filter((each) => !removedIdentities.includes(each)),
      );
      kept.push(
        ...added.map(({ identity }) => identity)
          .filter((identity) => !kept.includes(identity)),
      );
      if (type === "reset") {
        return CONNECTION_RESET;
      }
      return type === "done" ? Ok(undefined) : new Promise(() => {});
    },
  };
}

/** Advances the clock until the promise settles; returns its value and the time that it took. */
async function waitFor<T>(
  clock: VirtualClock,
  promise: Promise<T>,
): Promise<{ readonly value: T; readonly duration: Milliseconds }> {
  const startedAt = clock.now();
  let result: { value: T } | undefined;
  promise.then((value) => result = { value });
  while (result === undefined) {
    await new Promise((resolve) => setImmediate(resolve));
    if (result === undefined) {
      clock.advance(STEP_MS);
    }
    assert.ok(clock.now() - startedAt < 10_000, "the promise did not settle");
  }
  return { value: result.value, duration: clock.now() - startedAt };
}

interface SaveCase {
  readonly name: string;
  readonly respond: Parameters<typeof createStore>[1];
  readonly answersReads?: boolean;
  readonly isSaved: boolean;
  readonly maximumWrites: number;
}

const DONE = { after: 5, type: "done" } as const;

const SAVE_CASES: readonly SaveCase[] = [
  {
    name: "responds",
    respond: () => DONE,
    isSaved: true,
    maximumWrites: 1,
  },
  {
    name: "loses the first response",
    respond: (write) => write === 1 ? { after: 5, type: "lose" } : DONE,
    isSaved: true,
    maximumWrites: 2,
  },
  {
    name: "fails three times",
    respond: (write) => write <= 3 ? { after: 5, type: "fail" } : DONE,
    isSaved: true,
    maximumWrites: 4,
  },
  {
    name: "takes longer than the usual time",
    respond: () => ({ after: 600, type: "done" }),
    isSaved: true,
    maximumWrites: 3,
  },
  {
    name: "loses the responses of all writes",
    respond: () => ({ after: 5, type: "lose" }),
    isSaved: true,
    maximumWrites: 1,
  },
  {
    name: "resets the connection after each write",
    respond: () => ({ after: 5, type: "reset" }),
    isSaved: true,
    maximumWrites: 1,
  },
  {
    name: "resets the connections without writing",
    respond: () => ({ after: 5, type: "reset-before" }),
    isSaved: false,
    maximumWrites: 4,
  },
  {
    name: "loses all responses",
    respond: () => ({ after: 5, type: "lose" }),
    answersReads: false,
    isSaved: false,
    maximumWrites: 3,
  },
  {
    name: "resets the first connections and does not respond to reads",
    respond: (write) => write <= 2 ? { after: 5, type: "reset" } : DONE,
    answersReads: false,
    isSaved: true,
    maximumWrites: 3,
  },
  {
    name: "responds too late for the instance",
    respond: () => ({ after: 2_000, type: "done" }),
    isSaved: false,
    maximumWrites: 4,
  },
  {
    name: "is down",
    respond: () => ({ after: 5, type: "fail" }),
    isSaved: false,
    maximumWrites: 4,
  },
];

// Guards against an acknowledgement of a departure that the store does not have.
describe("a departure is saved within the time that the instance waits, or not confirmed", () => {
  for (
    const { name, respond, answersReads, isSaved, maximumWrites } of SAVE_CASES
  ) {
    test(`the store ${name}`, async () => {
      const clock = new VirtualClock();
      const store = createStore(clock, respond, answersReads);
      const records = createDepartureRecords({
        clock,
        log: SILENT_LOG,
        write: store.write,
        read: store.read,
      });
      const saved = await waitFor(clock, records.save(departure(1)));
      assert.equal(saved.value, isSaved);
      assert.equal(saved.value && !store.kept.includes("i-1"), false);
      assert.ok(saved.duration < 1_000, `${saved.duration} ms`);
      assert.ok(store.writes <= maximumWrites, `${store.writes} writes`);
    });
  }

  test("a departure is written although newer ones are stored, as after a peer has returned them", async () => {
    const clock = new VirtualClock();
    const store = createStore(clock, () => DONE);
    const records = createDepartureRecords({
      clock,
      log: SILENT_LOG,
      write: store.write,
      read: store.read,
    });
    records.restore([2, 3, 4, 5].map(departure));
    const saved = await waitFor(clock, records.save(departure(1)));
    assert.equal(saved.value, true);
    assert.ok(store.kept.includes("i-1"));
  });

  test("a departure that is stored is not written again", async () => {
    const clock = new VirtualClock();
    const store = createStore(clock, () => DONE);
    const records = createDepartureRecords({
      clock,
      log: SILENT_LOG,
      write: store.write,
      read: store.read,
    });
    records.restore([departure(1)]);
    assert.equal(await records.save(departure(1)), true);
    assert.equal(store.writes, 0);
  });
});

// Guards against a memory of departures that grows with each instance.
test("the store keeps the newest departures of a host", async () => {
  const clock = new VirtualClock();
  const store = createStore(clock, () => DONE);
  const records = createDepartureRecords({
    clock,
    log: SILENT_LOG,
    write: store.write,
    read: store.read,
  });
  const all: DepartedInstance[] = [];
  for (let number = 0; number < 20; number += 1) {
    all.push(departure(number));
    const { value } = await waitFor(clock, records.save(departure(number)));
    assert.equal(value, true);
    assert.deepEqual(
      store.kept,
      all.slice(-MAXIMUM_STORED_DEPARTURES).map(({ identity }) => identity),
    );
  }
  assert.equal(store.writes, 20);
});

function report(
  sequence: number,
  state: InstanceReport["state"],
): InstanceReport {
  return {
    identity: "i-1",
    service: "a",
    version: "v1",
    address: "127.0.0.1:1",
    failureDomain: "east",
    slots: 4,
    state,
    coldForMilliseconds: 0,
    sequence,
    startedAt: 1,
  };
}

interface HoldCase {
  readonly name: string;
  /** Reports and the release, with the time of each. */
  readonly events: readonly {
    readonly at: Milliseconds;
    readonly state?: InstanceReport["state"];
    /** When the instance started; long before the daemon by default. */
    readonly startedAt?: Milliseconds;
    readonly isRelease?: boolean;
  }[];
  /** The times at which the reports were received that are applied. */
  readonly applied: readonly Milliseconds[];
}

const DAEMON_STARTED_AT: Milliseconds = 1_000_000;

const HOLD_CASES: readonly HoldCase[] = [
  {
    name: "a ready instance is accepted when the departures are known",
    events: [{ at: 100, state: "ready" }, { at: 200, isRelease: true }, {
      at: 900,
      state: "ready",
    }],
    applied: [100, 900],
  },
  {
    name: "the state draining is accepted immediately",
    events: [{ at: 100, state: "draining" }],
    applied: [100],
  },
  {
    name:
      "without the departures, only reports are accepted that were sent after the start",
    events: [
      { at: 100, state: "ready" },
      { at: MAXIMUM_REPORT_DELAY_MS - 100, state: "ready" },
      { at: MAXIMUM_REPORT_DELAY_MS + 100, state: "ready" },
    ],
    applied: [MAXIMUM_REPORT_DELAY_MS + 100],
  },
  {
    name:
      "an instance that started with the daemon, as after a loss of power, is accepted immediately",
    events: [
      { at: 100, state: "ready", startedAt: DAEMON_STARTED_AT - 200 },
      { at: 900, state: "ready", startedAt: DAEMON_STARTED_AT + 500 },
      { at: 950, state: "ready", startedAt: DAEMON_STARTED_AT - 60_000 },
    ],
    applied: [100, 900],
  },
  {
    name: "departures that become known late change nothing more",
    events: [
      { at: 100, state: "ready" },
      { at: MAXIMUM_REPORT_DELAY_MS + 100, isRelease: true },
      { at: MAXIMUM_REPORT_DELAY_MS + 200, state: "ready" },
    ],
    applied: [MAXIMUM_REPORT_DELAY_MS + 200],
  },
];

// Guards against a late report of an instance whose departure this daemon does not know after its restart.
describe("reports after the start of a daemon", () => {
  for (const { name, events, applied } of HOLD_CASES) {
    test(name, () => {
      const clock = new VirtualClock();
      const appliedAt: Milliseconds[] = [];
      const hold = createReadyReportHold({
        clock,
        processStartedAt: DAEMON_STARTED_AT,
        apply: ({ sequence }) => appliedAt.push(sequence),
        onExpired() {},
      });
      for (const { at, state, startedAt = 1, isRelease } of events) {
        clock.advance(at - clock.now());
        if (state !== undefined) {
          hold.handle({ ...report(at, state), startedAt });
        }
        if (isRelease) {
          hold.release();
        }
      }
      assert.deepEqual(appliedAt, applied);
    });
  }
});
