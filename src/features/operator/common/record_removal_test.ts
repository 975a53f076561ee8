import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { Ok } from "../../../base/common/result.ts";
import type {
  LinkMessage,
  Peer,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { MeshStore, RecordBatch } from "./mesh_store.ts";
import {
  createOperatorRecords,
  NO_POSITION,
  type OperatorRecord,
  type RecordRange,
} from "./operator_records.ts";
import { decodeDeltas, type DeltaRange } from "./record_delta.ts";
import { createRecordSync, type ReceivedRecords } from "./record_sync.ts";

const OFFSETS_PER_ERA = 1_000;
const RULES = {
  locate: (position: number) => ({
    era: Math.max(0, Math.floor(position / OFFSETS_PER_ERA)),
    offset: Math.floor(position % OFFSETS_PER_ERA),
  }),
  isPermanent: (key: string) => key === "config",
};
const LATER_ERA = OFFSETS_PER_ERA;
const PEER: Peer = {
  process: { host: "peer", startedAt: 0 },
  failureDomain: "east",
};

const record = (
  key: string,
  offset: number,
  value = `${key}@${offset}`,
): OperatorRecord => ({ key, offset, value: Buffer.from(value) });

const describeRecords = (records: readonly OperatorRecord[]) =>
  Object.fromEntries(
    records.map(({ key, value }) => [key, Buffer.from(value).toString()]),
  );

function readOnce(range: Omit<RecordRange, "from">) {
  const records = createOperatorRecords(RULES);
  records.apply({ ...range, from: NO_POSITION }, { isComplete: true });
  return records;
}

// Guards against an order that stays in force forever because its removal was not read.
describe("a complete read", () => {
  const first = {
    records: [record("config", 0), record("a", 1), record("b", 2)],
    position: 3,
  };
  const cases = [
    {
      name: "removes the keys that it lacks, but the configuration",
      records: [record("b", 2)],
      position: 6,
      expected: { a: "" },
    },
    {
      name: "removes nothing that it contains",
      records: first.records,
      position: 6,
      expected: {},
    },
    {
      name: "of a later era removes the keys that the copy lacks",
      records: [record("b", LATER_ERA + 2)],
      position: LATER_ERA + 3,
      expected: { a: "", b: "b@2" },
      values: { b: "b@2" },
    },
    {
      name: "does not remove what was written after it",
      records: first.records.filter(({ key }) => key !== "a"),
      position: 1,
      expected: {},
    },
    {
      name: "of an older era changes nothing",
      start: LATER_ERA,
      records: [record("c", 7)],
      position: 9,
      expected: {},
    },
  ];
  for (const { name, records, position, expected, start, values } of cases) {
    test(name, () => {
      const known = readOnce({
        records: first.records.map((each) => ({
          ...each,
          offset: each.offset + (start ?? 0),
        })),
        position: first.position + (start ?? 0),
      });
      const changed = known.apply({
        records: records.map((each) => ({
          ...each,
          value: Buffer.from(
            (values as Record<string, string> | undefined)?.[each.key] ??
              Buffer.from(each.value).toString(),
          ),
        })),
        from: NO_POSITION,
        position,
      }, { isComplete: true });
      assert.deepEqual(describeRecords(changed), expected);
    });
  }

  test("is followed by a record at its position that takes effect, and by no delta to the removal", () => {
    const known = readOnce(first);
    const [removal] = known.apply(
      { records: [record("b", 2)], from: NO_POSITION, position: 6 },
      { isComplete: true },
    );
    assert.ok(removal.offset > 5 && removal.offset < 6);
    assert.deepEqual(known.offsets, { config: 0, b: 2 });
    const changed = known.apply({
      records: [record("a", 6)],
      from: 6,
      position: 7,
    });
    assert.deepEqual(describeRecords(changed), { a: "a@6" });
  });

  test("lets a daemon that is ahead list removals of the keys that another one still holds", () => {
    const ahead = readOnce({ records: [record("b", 2)], position: 6 });
    const removals = ahead.listRemovals({ config: 0, a: 1, b: 2, late: 8 });
    assert.deepEqual(describeRecords(removals), { a: "" });
    const behind = readOnce(first);
    const changed = behind.apply({
      records: [...ahead.listSince(3), ...removals],
      from: 3,
      position: 6,
    });
    assert.deepEqual(describeRecords(changed), { a: "" });
    assert.equal(behind.position, 6);
  });
});

// Guards against records that the store has lost, which a daemon of the older era brings to one of the later era.
test("a range of an older era changes nothing", () => {
  const known = readOnce({
    records: [record("a", LATER_ERA)],
    position: LATER_ERA + 1,
  });
  const changed = known.apply({
    records: [record("lost", 9)],
    from: 5,
    position: 10,
  });
  assert.deepEqual(changed, []);
  assert.equal(known.find("lost"), undefined);
});

/** Starts the synchronization of a reader whose store has these newest records, one after another. */
async function startReader(reads: readonly RecordBatch[]) {
  const clock = new VirtualClock();
  const received: ReceivedRecords[] = [];
  const sent: LinkMessage[] = [];
  const events: { event: string; fields: object | undefined }[] = [];
  const handlers = new Map<
    string,
    (peer: Peer, message: LinkMessage) => void
  >();
  let eraChanges = 0;
  let count = 0;
  const sync = createRecordSync({
    self: { host: "self", failureDomain: "east" },
    clock,
    random: createRandomSource(3),
    log: {
      ...SILENT_LOG,
      write: (_level, event, fields) => events.push({ event, fields }),
    },
    network: {
      peers: [],
      findPeer: () => PEER,
      getOverdueTime: () => 0,
      send: (_host: string, message: LinkMessage) => sent.push(message) > 0,
      sendToAll() {},
      onMessage(
        kind: string,
        handler: (peer: Peer, message: LinkMessage) => void,
      ) {
        handlers.set(kind, handler);
        return { dispose() {} };
      },
    } as unknown as PeerNetwork,
    store: {
      ...RULES,
      readNewestRecords() {
        count += 1;
        return Promise.resolve(Ok(reads[count - 1]));
      },
      readRecords: () =>
        count < reads.length
          ? Promise.resolve(Ok("expired"))
          : new Promise(() => {}),
    } as unknown as MeshStore,
    compression: {
      compress: (value) => value,
      decompress: (value) => Ok(value),
    },
    candidates: () => [{
      host: "self",
      failureDomain: "east",
      isAvailable: true,
      isReachable: true,
    }],
  });
  sync.onRecords((each) => received.push(each));
  sync.onEraChanged(() => {
    eraChanges += 1;
  });
  sync.start();
  for (let step = 0; step < 20; step += 1) {
    clock.advance(50);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return {
    received,
    sync,
    sent,
    handlers,
    countEvents: (name: string) =>
      events.filter(({ event }) => event === name).length,
    findEvent: (name: string) =>
      events.find(({ event }) => event === name)?.fields,
    countEraChanges: () => eraChanges,
  };
}

describe("a reader that reads the newest records again", () => {
  const before = {
    records: [record("config", 0), record("a", 1), record("b", 2)],
    position: 3,
  };
  const cases = [
    {
      name: "in the same era",
      again: { records: [record("config", 0), record("b", 2)], position: 6 },
      expected: { a: "" },
      isFirst: false,
      eraChanges: 0,
    },
    {
      name: "in a later era",
      again: {
        records: [
          { ...record("config", 0), offset: LATER_ERA },
          record("c", LATER_ERA + 1),
        ],
        position: LATER_ERA + 2,
      },
      expected: { config: "config@0", c: "c@1001", a: "", b: "" },
      isFirst: true,
      eraChanges: 1,
    },
  ];
  for (const { name, again, expected, isFirst, eraChanges } of cases) {
    test(`${name} reports the keys that are missing, and tells its peers`, async () => {
      const reader = await startReader([before, again]);
      assert.equal(reader.received.length, 2);
      const [, second] = reader.received;
      assert.deepEqual(describeRecords(second.records), expected);
      assert.equal(second.isFirst, isFirst);
      assert.equal(reader.countEraChanges(), eraChanges);
      assert.equal(reader.countEvents("store.era-changed"), eraChanges);
      if (eraChanges > 0) {
        assert.deepEqual(reader.findEvent("store.era-changed"), {
          from: 0,
          to: 1,
        });
      }
      assert.equal(reader.countEvents("operator.records-read-again"), 1);
      reader.handlers.get("operator.fetch")!(PEER, {
        kind: "operator.fetch",
        after: before.position,
        held: { config: 0, a: 1, b: 2 },
      } as LinkMessage);
      const behind = readOnce(before);
      const [update] = reader.sent as unknown as DeltaRange[];
      const changed = behind.apply(decodeDeltas(update, behind.find)!);
      assert.equal(describeRecords(changed).a, "");
      assert.equal(behind.position, again.position);
      reader.sync.dispose();
    });
  }
});
