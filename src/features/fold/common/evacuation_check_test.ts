import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { LogEntry } from "../../../world/common/log_record.ts";
import {
  checkRecord,
  foldEntries,
  foldEntry,
  INITIAL_FOLD_STATE,
} from "./fold.ts";
import { encodeRecord } from "./record_check.ts";
import { decodeSnapshot, encodeSnapshot, hashState } from "./state_codec.ts";

function change(baseVersion: number, fields: Record<string, unknown>) {
  return {
    schema: 1,
    kind: "change",
    identity: `change-${baseVersion}`,
    baseVersion,
    author: "ana",
    upsert: {},
    remove: {},
    ...fields,
  };
}

function order(
  action: string,
  failureDomain: string,
  fields: Record<string, unknown> = {},
) {
  return {
    schema: 1,
    kind: "evacuation",
    identity: `${action}-${failureDomain}`,
    baseVersion: 0,
    author: "ana",
    failureDomain,
    action,
    ...fields,
  };
}

const FIRST = change(-1, { upsert: { failureDomains: ["east", "west"] } });

function toEntries(records: readonly unknown[]): LogEntry[] {
  return records.map((record, offset) => ({
    offset,
    appendedAt: offset * 1_000,
    record: encodeRecord(record),
  }));
}

// Guards against daemons that disagree on an order, and against orders that would leave no failure domain.
describe("the verdict on an order and the failure domains that are evacuated after it", () => {
  const evacuate = order("evacuate", "east");
  const cases: readonly {
    readonly name: string;
    readonly before?: readonly unknown[];
    readonly record: Record<string, unknown>;
    readonly reason?: RegExp;
    readonly evacuated: readonly string[];
  }[] = [
    { name: "a first order", record: evacuate, evacuated: ["east"] },
    {
      name: "an unknown failure domain",
      record: order("evacuate", "north"),
      reason:
        /^failureDomain: there is no failure-domain:north; known are east, west$/,
      evacuated: [],
    },
    {
      name: "the last failure domain in service",
      before: [evacuate],
      record: order("evacuate", "west"),
      reason:
        /^failureDomain: of the failure domains east, west at least one must not be evacuated$/,
      evacuated: ["east"],
    },
    {
      name: "a repeated order with another identity",
      before: [evacuate],
      record: order("evacuate", "east", { identity: "again", baseVersion: 1 }),
      evacuated: ["east"],
    },
    {
      name: "the same order from two operators at once",
      before: [evacuate],
      record: order("evacuate", "east", { identity: "again" }),
      evacuated: ["east"],
    },
    {
      name: "the same restoration from two operators at once",
      before: [evacuate, order("restore", "east", { baseVersion: 1 })],
      record: order("restore", "east", { identity: "again", baseVersion: 1 }),
      evacuated: [],
    },
    {
      name: "a contrary order from two operators at once",
      before: [evacuate],
      record: order("restore", "east"),
      reason: /^failureDomain: evacuation:east was changed at 1, after the/,
      evacuated: ["east"],
    },
    {
      name: "a repeated order with a base that is still to come",
      before: [evacuate],
      record: order("evacuate", "east", { identity: "early", baseVersion: 9 }),
      reason: /base/,
      evacuated: ["east"],
    },
    {
      name: "a repeated order with the same identity",
      before: [evacuate],
      record: evacuate,
      reason: /^identity: evacuate-east was accepted at 1$/,
      evacuated: ["east"],
    },
    {
      name: "an order that is older than the last one",
      before: [evacuate, order("restore", "east", { baseVersion: 1 })],
      record: order("evacuate", "east", { identity: "late", baseVersion: 1 }),
      reason: /^failureDomain: evacuation:east was changed at 2, after the/,
      evacuated: [],
    },
    {
      name: "a restoration",
      before: [evacuate],
      record: order("restore", "east", { baseVersion: 1 }),
      evacuated: [],
    },
    {
      name: "a restoration of a failure domain in service",
      record: order("restore", "east"),
      evacuated: [],
    },
    {
      name: "a restoration of an unknown failure domain",
      record: order("restore", "north"),
      reason: /^failureDomain: there is no failure-domain:north/,
      evacuated: [],
    },
    {
      name: "the removal of the last failure domain in service",
      before: [evacuate],
      record: change(1, { remove: { failureDomains: ["west"] } }),
      reason: /^failureDomain: of the failure domains east at least one/,
      evacuated: ["east"],
    },
    {
      name: "the removal of an evacuated failure domain",
      before: [evacuate],
      record: change(1, { remove: { failureDomains: ["east"] } }),
      evacuated: ["east"],
    },
    {
      name: "the restoration of a removed failure domain",
      before: [evacuate, change(1, { remove: { failureDomains: ["east"] } })],
      record: order("restore", "east", { baseVersion: 2 }),
      evacuated: [],
    },
    {
      name: "an unknown action",
      record: order("empty", "east"),
      reason: /^action: /,
      evacuated: [],
    },
  ];
  for (const { name, before = [], record, reason, evacuated } of cases) {
    test(name, () => {
      const entries = toEntries([FIRST, ...before, record]);
      const last = entries.pop()!;
      const { state } = foldEntries(INITIAL_FOLD_STATE, entries);
      const step = foldEntry(state, last);
      const { evacuations } = step.state.configuration;
      assert.deepEqual([...evacuations.keys()], evacuated);
      assert.match(step.verdict.reason, reason ?? /^$/);
      assert.equal(step.verdict.status === "accepted", reason === undefined);
      if (step.verdict.status === "refused") {
        assert.equal(step.state.configuration, state.configuration);
        const checked = checkRecord(state.configuration, record, 1_000);
        assert.equal(checked.val, step.verdict.reason);
      }
    });
  }
});

// Guards against an evacuation that ends because a daemon restarts from a snapshot, or that a repetition dates anew.
test("a snapshot keeps evacuations, and without any it has no key that older releases refuse", () => {
  const repeated = order("evacuate", "east", {
    identity: "again",
    baseVersion: 1,
    author: "ben",
  });
  const records = [FIRST, order("evacuate", "east"), repeated];
  const { state } = foldEntries(INITIAL_FOLD_STATE, toEntries(records));
  const restored = decodeSnapshot(encodeSnapshot(state)).unwrap();
  assert.equal(hashState(restored), hashState(state));
  assert.deepEqual(restored.configuration.evacuations.get("east"), {
    failureDomain: "east",
    startedAt: 1_000,
    author: "ana",
  });
  const first = foldEntries(INITIAL_FOLD_STATE, toEntries([FIRST])).state;
  const text = Buffer.from(encodeSnapshot(first)).toString("latin1");
  assert.ok(!text.includes("evacuations"));
});
