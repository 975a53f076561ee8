import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";
import {
  checkRecord,
  foldEntries,
  foldEntry,
  type FoldState,
  INITIAL_FOLD_STATE,
  MAXIMUM_REMEMBERED_IDENTITIES,
} from "./fold.ts";
import { TOMBSTONE_RETENTION_RECORDS } from "./change_check.ts";
import { encodeRecord } from "./record_check.ts";
import { decodeSnapshot, encodeSnapshot, hashState } from "./state_codec.ts";

const LIMITS = { requestsPerSecond: 100, concurrency: 20, retryShare: 0.1 };
const SERVICES = [{ name: "booking", version: "v1" }, {
  name: "dispatch",
  version: "v1",
}];
const HOLLISTER = {
  customer: "hollister",
  routes: ["availability"],
  limits: LIMITS,
};

function route(name: string, change: Record<string, unknown> = {}) {
  return {
    name,
    service: "booking",
    method: "GET",
    pathPrefix: `/${name}`,
    callClass: "read",
    stalenessMilliseconds: 0,
    deadlineMilliseconds: 1_000,
    ...change,
  };
}

function change(identity: string, fields: Record<string, unknown> = {}) {
  const common = { schema: 1, kind: "change", identity, author: "ana" };
  return { ...common, baseVersion: 0, upsert: {}, remove: {}, ...fields };
}

function move(identity: string, fields: Record<string, unknown> = {}) {
  const common = { schema: 1, kind: "move", identity, author: "ana" };
  const target = { service: "booking", toVersion: "v2", deadlineAt: 90_000 };
  return { ...common, baseVersion: 0, ...target, ...fields };
}

function verdict(of: string, fields: Record<string, unknown> = {}) {
  const common = { schema: 1, kind: "verdict", move: of, author: "h1" };
  return { ...common, outcome: "done", reason: "observed", ...fields };
}

const FIRST = change("c0", {
  baseVersion: -1,
  upsert: {
    failureDomains: ["tacoma", "salem"],
    services: SERVICES,
    routes: [route("availability")],
    contracts: [HOLLISTER],
  },
});

function toEntries(records: readonly unknown[]): LogEntry[] {
  return records.map((record, offset) => ({
    offset,
    appendedAt: offset * 1_000,
    record: record instanceof Uint8Array ? record : encodeRecord(record),
  }));
}

function contract(fields: Record<string, unknown>) {
  return change("c1", { upsert: { contracts: [{ ...HOLLISTER, ...fields }] } });
}

test("an invalid record is refused as a whole with the field and reason, and the position advances", () => {
  const newRoute = (fields: Record<string, unknown>) =>
    change("c1", { upsert: { routes: [route("other", fields)] } });
  const cases: { record: unknown; reason: RegExp; before?: unknown[] }[] = [
    { record: Uint8Array.of(0xc1), reason: /^record: is not valid msgpack/ },
    { record: Uint8Array.of(1, 2), reason: /^record: is not valid msgpack/ },
    { record: null, reason: /^schema: undefined is not known/ },
    { record: change("c1", { schema: 2 }), reason: /^schema: 2 is not known/ },
    { record: change("c1", { kind: "other" }), reason: /^kind: / },
    { record: change(""), reason: /^identity: is not a name/ },
    { record: change("c1", { extra: 1 }), reason: /^extra: / },
    {
      record: contract({ limits: { ...LIMITS, concurrency: undefined } }),
      reason: /^upsert\.contracts\.0\.limits\.concurrency: /,
    },
    {
      record: contract({ limits: { ...LIMITS, requestsPerSecond: -1 } }),
      reason: /^upsert\.contracts\.0\.limits\.requestsPerSecond: /,
    },
    {
      record: contract({ limits: { ...LIMITS, retryShare: 1.5 } }),
      reason: /^upsert\.contracts\.0\.limits\.retryShare: /,
    },
    { record: contract({ limits: undefined }), reason: /\.0\.limits: / },
    {
      record: newRoute({ pathPrefix: "/a/../b" }),
      reason: /pathPrefix: is not a plain path/,
    },
    {
      record: newRoute({ service: "none" }),
      reason: /^route:other: there is no service:none/,
    },
    {
      record: contract({ routes: ["none"] }),
      reason: /^contract:hollister: there is no route:none/,
    },
    {
      record: change("c1", { remove: { services: ["booking"] } }),
      reason: /^route:availability: there is no service:booking/,
    },
    {
      record: change("c1", { remove: { routes: ["availability"] } }),
      reason: /^contract:hollister: there is no route:availability/,
    },
    {
      record: change("c1", { upsert: { contracts: [HOLLISTER, HOLLISTER] } }),
      reason: /^upsert\.contracts\[1\]: contract:hollister stands twice/,
    },
    {
      record: change("c1", {
        upsert: {
          routes: [route("other", { pathPrefix: "/availability/" })],
          contracts: [{ ...HOLLISTER, routes: ["availability", "other"] }],
        },
      }),
      reason: /^contract:hollister: .* both match GET \/availability\//,
    },
    {
      record: change("c1", {
        baseVersion: -1,
        upsert: { services: SERVICES },
      }),
      reason: /^upsert\.services\[0\]: service:booking was changed at 0/,
    },
    {
      record: change("c1", {
        baseVersion: -1,
        upsert: { routes: [route("other")] },
      }),
      reason: /^upsert\.routes\[0\]\.service: service:booking was changed at 0/,
    },
    {
      record: change("c1", { baseVersion: 9 }),
      reason: /^baseVersion: 9 is after the current version 0/,
    },
    {
      record: change("c2", {
        baseVersion: 1,
        remove: { services: ["booking"] },
      }),
      before: [move("m1")],
      reason: /^remove\.services\[0\]: the move m1 of service:booking is open/,
    },
    { record: move("m1", { service: "none" }), reason: /no service:none/ },
    { record: move("m1", { toVersion: "v1" }), reason: /already the current/ },
    { record: move("m1", { deadlineAt: 1_000 }), reason: /^deadlineAt: 1000/ },
    { record: move("m1", { baseVersion: -1 }), reason: /^service: .*changed/ },
    {
      record: move("m2", { baseVersion: 1 }),
      before: [move("m1")],
      reason: /^service: the move m1 of service:booking is open/,
    },
    { record: verdict("none"), reason: /^move: there is no none/ },
    {
      record: verdict("m1", { outcome: "taken-back" }),
      before: [move("m1"), verdict("m1")],
      reason: /^move: m1 is already done/,
    },
  ];
  for (const { record, reason, before = [] } of cases) {
    const entries = toEntries([FIRST, ...before, record]);
    const last = entries.pop()!;
    const { state } = foldEntries(INITIAL_FOLD_STATE, entries);
    const step = foldEntry(state, last);
    assert.equal(step.verdict.status, "refused", String(reason));
    assert.match(step.verdict.reason, reason);
    assert.equal(step.state.position, entries.length + 1);
    assert.equal(step.state.configuration, state.configuration);
    if (!(record instanceof Uint8Array)) {
      const checked = checkRecord(state.configuration, record, 1_000);
      assert.match(String(checked.val), reason);
    }
  }
});

const SESSION: unknown[] = [
  FIRST,
  FIRST,
  change("c1", { upsert: { routes: [route("slots")] } }),
  change("race-1", { baseVersion: 2, upsert: { routes: [route("slots")] } }),
  change("race-2", { baseVersion: 2, remove: { routes: ["slots"] } }),
  Uint8Array.of(0xc1),
  move("m1", { baseVersion: 3 }),
  move("m2", { baseVersion: 3, toVersion: "v3" }),
  verdict("m1", { outcome: "taken-back", reason: "failures" }),
  verdict("m1", { outcome: "taken-back", reason: "late" }),
  verdict("m1"),
  change("c2", { schema: 7 }),
  move("m3", { baseVersion: 8 }),
  verdict("m3"),
  change("c2", { baseVersion: 13, upsert: { failureDomains: ["everett"] } }),
];

test("duplicates, races, invalid records, moves and verdicts fold to the expected verdicts and state hashes", () => {
  let state = INITIAL_FOLD_STATE;
  const lines = toEntries(SESSION).map((entry) => {
    const step = foldEntry(state, entry);
    state = step.state;
    const { version, services } = state.configuration;
    const { status, reason } = step.verdict;
    return `${entry.offset} ${status} version=${version} booking=${
      services.get("booking")?.version
    } hash=${hashState(state)} ${reason}`.trimEnd();
  });
  compareWithGoldenFile(
    "src/features/fold/common/golden/session.txt",
    lines,
  );
});

function createRecord(
  index: number,
  random: { nextInteger(n: number): number },
) {
  const name = `r${random.nextInteger(6)}`;
  const baseVersion = index - 1 - random.nextInteger(8);
  const identity = `i${index - random.nextInteger(3)}`;
  switch (random.nextInteger(5)) {
    case 0:
      return Uint8Array.of(0xc1, index % 256);
    case 1:
      return move(identity, { baseVersion, toVersion: `v${index}` });
    case 2:
      return verdict(`i${index - random.nextInteger(9)}`);
    case 3:
      return change(identity, { baseVersion, remove: { routes: [name] } });
    default:
      return change(identity, {
        baseVersion: Math.max(-1, baseVersion),
        upsert: { routes: [route(name)] },
      });
  }
}

test("any division into batches, with or without restoring from a snapshot, gives the same state hash", () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const random = createRandomSource(seed);
    const records = [FIRST];
    for (let index = 1; index < 80; index += 1) {
      records.push(createRecord(index, random) as typeof FIRST);
    }
    const entries = toEntries(records);
    const expected = hashState(foldEntries(INITIAL_FOLD_STATE, entries).state);
    let state: FoldState = INITIAL_FOLD_STATE;
    for (let start = 0; start < entries.length;) {
      const end = start + 1 + random.nextInteger(9);
      state = foldEntries(state, entries.slice(start, end)).state;
      if (random.nextInteger(3) === 0) {
        state = decodeSnapshot(encodeSnapshot(state)).unwrap();
      }
      start = end;
    }
    assert.equal(hashState(state), expected, `seed ${seed}`);
  }
});

test("a corrupted or truncated snapshot is refused, so that no daemon starts from a wrong state", () => {
  const { state } = foldEntries(INITIAL_FOLD_STATE, toEntries(SESSION));
  const bytes = encodeSnapshot(state);
  const text = Buffer.from(bytes).toString("latin1").replace("slots", "slotz");
  assert.match(
    String(decodeSnapshot(Buffer.from(text, "latin1")).val),
    /^hash: /,
  );
  assert.ok(decodeSnapshot(bytes.subarray(0, 40)).err);
  assert.ok(decodeSnapshot(bytes).ok);
});

test("only the newest 10,000 identities are kept, so that memory is bounded", () => {
  const count = MAXIMUM_REMEMBERED_IDENTITIES + 5;
  const records = Array.from(
    { length: count },
    (_, index) => change(`i${index}`, { baseVersion: 99_999 }),
  );
  const { state } = foldEntries(INITIAL_FOLD_STATE, toEntries(records));
  assert.equal(state.verdicts.size, MAXIMUM_REMEMBERED_IDENTITIES);
  assert.ok(!state.verdicts.has("i4") && state.verdicts.has("i5"));
});

test("expired tombstones are removed, and an older base version is refused as stale", () => {
  const fold = (state: FoldState, offset: number, record: unknown) =>
    foldEntry(state, { offset, appendedAt: 0, record: encodeRecord(record) });
  const service = (name: string) => ({ services: [{ name, version: "v1" }] });
  const add = (name: string, baseVersion: number, identity = `add-${name}`) =>
    change(identity, {
      baseVersion,
      upsert: service(name),
    });
  const remove = { remove: { services: ["old"] }, baseVersion: 1 };
  let { state } = foldEntries(INITIAL_FOLD_STATE, toEntries([FIRST]));
  state = fold(state, 1, add("old", 0)).state;
  state = fold(state, 2, change("remove", remove)).state;
  const last = 2 + TOMBSTONE_RETENTION_RECORDS;
  state = fold(state, last, add("kept", 2)).state;
  assert.equal(state.configuration.objectVersions.get("service:old"), 2);
  state = fold(state, last + 1, add("later", 2)).state;
  assert.equal(state.configuration.objectVersions.has("service:old"), false);
  assert.equal(
    state.configuration.objectVersions.get("service:booking"),
    0,
    "the version of an object that exists is kept",
  );
  const loaded = decodeSnapshot(encodeSnapshot(state)).unwrap();
  const cases = [
    { name: "old", baseVersion: 1, status: "refused" },
    { name: "never", baseVersion: -1, status: "refused" },
    { name: "old", baseVersion: 2, status: "accepted" },
    { name: "kept", baseVersion: 2, status: "refused" },
    { name: "booking", baseVersion: 0, status: "accepted" },
  ];
  for (const { name, baseVersion, status } of cases) {
    for (const start of [state, loaded]) {
      const { verdict } = fold(
        start,
        last + 2,
        add(name, baseVersion, "again"),
      );
      assert.equal(verdict.status, status, `${name}: ${verdict.reason}`);
    }
  }
});
