import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { Err, Ok } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import type {
  LinkMessage,
  Peer,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { MeshStore } from "./mesh_store.ts";
import type { OperatorRecord } from "./operator_records.ts";
import { createRecordSync } from "./record_sync.ts";

interface PeerOptions {
  readonly failureDomain: string;
  readonly isLinked?: boolean;
  readonly overdue?: number;
}

const FETCH_DELAY_MS = 250;

/** Starts the synchronization of a daemon of the failure domain "east" with these peers and this store. */
async function startSync(
  peers: Readonly<Record<string, PeerOptions>>,
  store: Partial<MeshStore> = {},
) {
  const clock = new VirtualClock();
  const sent: { to: string; message: LinkMessage; at: number }[] = [];
  const handlers = new Map<
    string,
    (peer: Peer, message: LinkMessage) => void
  >();
  const describePeer = (host: string): Peer => ({
    process: { host, startedAt: 0 },
    failureDomain: peers[host].failureDomain,
  });
  const isLinked = (host: string) => peers[host]?.isLinked ?? true;
  function send(to: string, message: LinkMessage): boolean {
    if (isLinked(to)) {
      sent.push({ to, message, at: clock.now() });
    }
    return isLinked(to);
  }

  const network = {
    peers: Object.keys(peers).filter(isLinked).map(describePeer),
    findPeer: (host: string) => isLinked(host) ? describePeer(host) : undefined,
    getOverdueTime: (host: string) => peers[host].overdue ?? 0,
    send,
    sendToAll: (hosts: readonly string[], message: LinkMessage) =>
      hosts.forEach((host) => send(host, message)),
    onMessage(
      kind: string,
      handler: (peer: Peer, message: LinkMessage) => void,
    ) {
      handlers.set(kind, handler);
      return { dispose() {} };
    },
  } as unknown as PeerNetwork;
  const sync = createRecordSync({
    self: { host: "self", failureDomain: "east" },
    clock,
    random: createRandomSource(3),
    log: SILENT_LOG,
    network,
    store: {
      locate: (position: number) => ({ era: 0, offset: position }),
      isPermanent: () => false,
      readNewestRecords: () =>
        Promise.resolve(Ok({ records: [], position: 0 })),
      readRecords: () => new Promise(() => {}),
      ...store,
    } as unknown as MeshStore,
    compression: {
      compress: (value) => value.subarray(0, value.length / 10),
      decompress: (value) => Ok(value),
    },
    candidates: () => [
      {
        host: "self",
        failureDomain: "east",
        isAvailable: true,
        isReachable: true,
      },
    ],
  });
  sync.start();
  const settle = () => new Promise((resolve) => setImmediate(resolve));
  await settle();
  return {
    clock,
    sync,
    settle,
    sent,
    fetches: () =>
      sent.filter(({ message }) => message.kind === "operator.fetch"),
    receive(
      from: string,
      records: readonly OperatorRecord[],
      position: number,
    ) {
      handlers.get("operator.update")!(describePeer(from), {
        kind: "operator.update",
        records,
        from: 0,
        position,
      } as LinkMessage);
    },
  };
}

describe("a daemon that lacks records fetches them", () => {
  test("without delay from the next peer when the links to others are closed", async () => {
    const closed = Array.from({ length: 12 }, (_, index) => `closed-${index}`);
    const { clock, sync, fetches } = await startSync({
      ...Object.fromEntries(
        closed.map((
          host,
        ) => [host, { failureDomain: "east", isLinked: false }]),
      ),
      open: { failureDomain: "west" },
    });
    for (const host of [...closed, "open"]) {
      sync.updatePeerPosition(host, 1);
    }
    clock.advance(FETCH_DELAY_MS + 1);
    assert.deepEqual(fetches().map(({ to }) => to), ["open"]);
    sync.dispose();
  });

  test("from a peer that is heard from in time rather than from an overdue one nearby", async () => {
    const { clock, sync, fetches } = await startSync({
      a: { failureDomain: "east", overdue: 400 },
      b: { failureDomain: "west" },
    });
    sync.updatePeerPosition("a", 1);
    sync.updatePeerPosition("b", 1);
    clock.advance(FETCH_DELAY_MS + 1);
    assert.deepEqual(fetches().map(({ to }) => to), ["b"]);
    sync.dispose();
  });

  test("without the retry delay that an earlier version has reached", async () => {
    const { clock, sync, fetches, receive } = await startSync({
      a: { failureDomain: "east" },
      b: { failureDomain: "east" },
    });
    sync.updatePeerPosition("a", 1);
    clock.advance(2_100);
    receive("b", [{ key: "config", offset: 0, value: Buffer.from("1") }], 1);
    const fetchesBefore = fetches().length;
    const behindSince = clock.now();
    sync.updatePeerPosition("a", 2);
    clock.advance(FETCH_DELAY_MS + 1);
    assert.equal(fetches().length, fetchesBefore + 1);
    assert.ok(fetches().at(-1)!.at - behindSince <= FETCH_DELAY_MS + 1);
    sync.dispose();
  });
});

// Guards against 16 copies of a large version on the slow link of the reader, 5 s for 4 MB at 7 Mbit/s.
test("a reader sends a version that shares little with the one before in compressed form", async () => {
  const versions = [1, 2].map((version) => ({
    key: "config",
    offset: version - 1,
    value: Buffer.from(`{"version":${version}}`.repeat(10_000)),
  }));
  const waiting: ((read: unknown) => void)[] = [];
  const { sync, sent, settle } = await startSync(
    { a: { failureDomain: "east" } },
    {
      readNewestRecords: () =>
        Promise.resolve(Ok({ records: [versions[0]], position: 1 })),
      readRecords: () =>
        new Promise((resolve) => waiting.push(resolve as () => void)),
    },
  );
  await settle();
  waiting[0](Ok({ records: [versions[1]], position: 2 }));
  await settle();
  const [update] = sent.filter(({ message }) =>
    message.kind === "operator.update"
  );
  const [record] = (update.message as unknown as { records: object[] }).records;
  assert.ok("compressed" in record);
  sync.dispose();
});

// Guards against a daemon that reports the store as regained and lost again several times a second, to all others, and
// never waits longer: a read from an offset of an older era is expired without a call.
test("a store that fails each complete read after the position has expired stays lost", async () => {
  let reads = 0;
  const { clock, sync, settle } = await startSync({}, {
    readNewestRecords: () => {
      reads += 1;
      return Promise.resolve(
        reads === 1
          ? Ok({ records: [], position: 0 })
          : Err(new StepError("read", "refused", { outcome: "not-run" })),
      );
    },
    readRecords: () => Promise.resolve(Ok("expired" as const)),
  });
  const changes: boolean[] = [];
  sync.onReachabilityChanged(() => changes.push(sync.reachesStore));
  for (let elapsed = 0; elapsed < 20_000; elapsed += 50) {
    await settle();
    clock.advance(50);
  }
  assert.equal(sync.reachesStore, false);
  // It was lost before `onReachabilityChanged` was subscribed to.
  assert.deepEqual(changes, []);
  // The backoff of 1.5 s at most is taken half on average, twice for each attempt.
  assert.ok(reads < 25, `${reads} reads in 20 s`);
  sync.dispose();
});
