import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { Ok } from "../../../base/common/result.ts";
import type {
  LinkMessage,
  Peer,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import {
  createOperatorRecords,
  NO_POSITION,
  type OperatorRecord,
} from "./operator_records.ts";
import { createRecordPacker } from "./record_compression.ts";
import { createRetainedRecords } from "./retained_records.ts";

const OFFSETS_PER_ERA = 1_000;
const RULES = {
  locate: (position: number) => ({
    era: Math.max(0, Math.floor(position / OFFSETS_PER_ERA)),
    offset: Math.floor(position % OFFSETS_PER_ERA),
  }),
  isPermanent: (key: string) => key === "config",
};
const PEER: Peer = {
  process: { host: "peer", startedAt: 0 },
  failureDomain: "east",
};
const REQUEST_KIND = "operator.retained-request";
const RETAINED_KIND = "operator.retained";

function createDaemon(isLinked: (host: string) => boolean = () => true) {
  const sent: { to: string; message: LinkMessage }[] = [];
  const received: OperatorRecord[] = [];
  const handlers = new Map<
    string,
    (peer: Peer, message: LinkMessage) => void
  >();
  const records = createOperatorRecords(RULES);
  const retained = createRetainedRecords({
    log: SILENT_LOG,
    network: {
      send(to: string, message: LinkMessage) {
        if (isLinked(to)) {
          sent.push({ to, message });
        }
        return isLinked(to);
      },
      onMessage(
        kind: string,
        handler: (peer: Peer, message: LinkMessage) => void,
      ) {
        handlers.set(kind, handler);
        return { dispose() {} };
      },
    } as unknown as PeerNetwork,
    records,
    rules: RULES,
    packer: createRecordPacker({
      compress: (value) => value,
      decompress: (value) => Ok(value),
    }),
    onReceived: (each) => received.push(...each),
  });
  return {
    retained,
    sent,
    received,
    receive: (message: LinkMessage) =>
      handlers.get(message.kind)!(PEER, message),
    /** Reads this configuration, and no other record, at an offset. */
    read(offset: number, text: string) {
      const range = {
        records: [{ key: "config", offset, value: Buffer.from(text) }],
        from: NO_POSITION,
        position: offset + 1,
      };
      retained.noteReplaced(range.records);
      records.apply(range);
      retained.requestRecords();
    },
  };
}

// Guards against a daemon that accepts withdrawn keys because it has started after the store came back from a copy.
describe("a configuration that the store has lost", () => {
  function createHolder() {
    const holder = createDaemon();
    holder.read(3, "new");
    holder.read(OFFSETS_PER_ERA + 2, "old");
    return holder;
  }

  test("is given to a daemon that asks, and handed on by it", () => {
    const holder = createHolder();
    holder.receive({ kind: REQUEST_KIND });
    const starting = createDaemon();
    starting.read(OFFSETS_PER_ERA + 2, "old");
    starting.receive(holder.sent.at(-1)!.message);
    assert.deepEqual(
      starting.received.map(({ value }) => Buffer.from(value).toString()),
      ["new"],
    );
    starting.receive({ kind: REQUEST_KIND });
    assert.equal(starting.sent.at(-1)?.message.kind, RETAINED_KIND);
  });

  test("is no longer given once the operator has written it again", () => {
    const holder = createHolder();
    holder.read(OFFSETS_PER_ERA + 3, "new");
    holder.receive({ kind: REQUEST_KIND });
    assert.deepEqual(holder.sent, []);
  });

  // Guards against the newest configuration being dropped for the one that the first copy had.
  test("is still given after a second rewind to an even older copy", () => {
    const holder = createHolder();
    holder.read(2 * OFFSETS_PER_ERA + 1, "oldest");
    holder.receive({ kind: REQUEST_KIND });
    const starting = createDaemon();
    starting.read(2 * OFFSETS_PER_ERA + 1, "oldest");
    starting.receive(holder.sent.at(-1)!.message);
    assert.deepEqual(
      starting.received.map(({ value }) => Buffer.from(value).toString()),
      ["new", "old"],
    );
    starting.receive({ kind: REQUEST_KIND });
    assert.deepEqual(starting.sent.at(-1), holder.sent.at(-1));
  });

  test("is not assumed if the copy has the same one", () => {
    const holder = createDaemon();
    holder.read(3, "new");
    holder.read(OFFSETS_PER_ERA + 3, "new");
    holder.receive({ kind: REQUEST_KIND });
    assert.deepEqual(holder.sent, []);
  });
});

describe("a daemon asks for what its peers keep", () => {
  const cases = [
    { name: "not while the era is the first one", offsets: [3], expected: [] },
    {
      name: "after a start in a later era, two peers",
      offsets: [OFFSETS_PER_ERA + 2],
      expected: ["a", "b"],
    },
    {
      name: "not if it has run since before the era",
      offsets: [3, OFFSETS_PER_ERA + 2],
      expected: [],
    },
  ];
  for (const { name, offsets, expected } of cases) {
    for (const isReadFirst of [true, false]) {
      test(`${name}${isReadFirst ? "" : ", known before the first read"}`, () => {
        const daemon = createDaemon();
        const readAll = () => offsets.forEach((each) => daemon.read(each, "x"));
        const notePeers = () =>
          ["a", "a", "b", "c", "a"].forEach(daemon.retained.notePeer);
        for (
          const step of isReadFirst
            ? [readAll, notePeers]
            : [notePeers, readAll]
        ) {
          step();
        }
        assert.deepEqual(daemon.sent.map(({ to }) => to), expected);
      });
    }
  }

  test("another one in place of one without a link", () => {
    const daemon = createDaemon((host) => host !== "a");
    daemon.read(OFFSETS_PER_ERA, "x");
    ["a", "b", "c"].forEach(daemon.retained.notePeer);
    assert.deepEqual(daemon.sent.map(({ to }) => to), ["b", "c"]);
  });
});
