/**
 * Gossip of records over links: changes are forwarded immediately, and anti-entropy by digests
 * repairs what was missed.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type {
  LinkMessage,
  Peer,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { Member } from "./directory.ts";
import {
  decodeSummary,
  encodeSummary,
  type SummaryRecord,
} from "./domain_summary.ts";
import { decodeMember, encodeMember } from "./member_record.ts";
import {
  DIGEST_BUCKETS,
  type RecordStore,
  type StampEntry,
} from "./record_store.ts";

/** Changes within this time are batched into one message. */
const BATCH_DELAY_MS: Milliseconds = 50;

/**
 * Records of a digest exchange are not forwarded when there are more than this: other peers that
 * lack them get them by their own exchanges.
 */
const MAXIMUM_FORWARDED_RECORDS = 16;

/**
 * Time until an exchange is assumed to have ended. Only one runs at a time, so that a new member
 * does not get all records from every peer.
 */
const EXCHANGE_TIMEOUT_MS: Milliseconds = 1_000;

/** A peer that started less than this long ago is sent the records of dead members. */
const NEW_PROCESS_AGE_MS: Milliseconds = 30_000;

/** The kinds of records: members of the own failure domain, and summaries of all domains. */
export type RecordScope = "members" | "summaries";

export interface GossipOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly failureDomain: FailureDomainName;
  readonly members: RecordStore<Member>;
  readonly summaries: RecordStore<SummaryRecord>;
  /** Merges a received record. Returns whether it was newer than the known one. */
  readonly acceptMember: (record: Member) => boolean;
  readonly acceptSummary: (record: SummaryRecord) => boolean;
  /** Called after a message has brought at least one newer record. */
  readonly onRecordsAccepted: () => void;
}

export interface Gossip extends Disposable {
  /** Queues a record for all peers except the one that it came from. */
  publish(scope: RecordScope, key: string, source?: HostName): void;
  /** Sends all queued records immediately. */
  flush(): void;
  /** Compares the digests of a heartbeat with the own ones; starts an exchange if they differ. */
  compareDigests(peer: Peer, members: number, summaries: number): void;
}

interface RecordsMessage extends LinkMessage {
  readonly bulk: boolean;
  readonly members: readonly unknown[];
  readonly summaries: readonly unknown[];
}

interface DigestsMessage extends LinkMessage {
  readonly scope: RecordScope;
  readonly digests: readonly number[];
}

interface StampsMessage extends LinkMessage {
  readonly scope: RecordScope;
  readonly buckets: readonly number[];
  readonly stamps: readonly StampEntry[];
}

interface RecordRequestMessage extends LinkMessage {
  readonly scope: RecordScope;
  readonly keys: readonly string[];
}

export function createGossip(options: GossipOptions): Gossip {
  const { network, clock, failureDomain } = options;
  const stores = { members: options.members, summaries: options.summaries };
  const pending = {
    members: new Map<string, HostName | undefined>(),
    summaries: new Map<string, HostName | undefined>(),
  };
  const exchangeTimeoutAt = { members: -Infinity, summaries: -Infinity };
  const owned = createDisposableStore();
  let flushing: Disposable | undefined;

  function isLocal(peer: Peer): boolean {
    return peer.failureDomain === failureDomain;
  }

  function sendRecords(
    host: HostName,
    records: { members?: Member[]; summaries?: SummaryRecord[] },
    bulk: boolean,
  ): void {
    const members = records.members ?? [];
    const summaries = records.summaries ?? [];
    if (members.length + summaries.length > 0) {
      const message: RecordsMessage = {
        kind: "records",
        bulk,
        members: members.map(encodeMember),
        summaries: summaries.map(encodeSummary),
      };
      network.send(host, message);
    }
  }

  function flush(): void {
    flushing?.dispose();
    flushing = undefined;
    const select = <T>(scope: RecordScope, store: RecordStore<T>, to: string) =>
      [...pending[scope]].filter(([, source]) => source !== to)
        .map(([key]) => store.get(key)).filter((record) =>
          record !== undefined
        );
    for (const peer of network.peers) {
      const { host } = peer.process;
      sendRecords(host, {
        members: isLocal(peer) ? select("members", stores.members, host) : [],
        summaries: select("summaries", stores.summaries, host),
      }, false);
    }
    pending.members.clear();
    pending.summaries.clear();
  }

  function publish(scope: RecordScope, key: string, source?: HostName): void {
    pending[scope].set(key, source);
    flushing ??= clock.schedule(BATCH_DELAY_MS, flush);
  }

  function handleRecords(peer: Peer, message: RecordsMessage): void {
    const local = isLocal(peer) && Array.isArray(message.members);
    const members = (local ? message.members : [])
      .map((wire) => decodeMember(wire, failureDomain))
      .filter((record) => record !== undefined && options.acceptMember(record));
    const summaries = asArray(message.summaries).map(decodeSummary)
      .filter((record) =>
        record !== undefined && options.acceptSummary(record)
      );
    const source = peer.process.host;
    if (!message.bulk) {
      members.forEach((record) =>
        publish("members", record!.process.host, source)
      );
      summaries.forEach((record) =>
        publish("summaries", `${record!.failureDomain}|${record!.part}`, source)
      );
    }
    if (members.length + summaries.length > 0) {
      options.onRecordsAccepted();
    }
    notifySuspectedPeers(members.filter((record) => record !== undefined));
  }

  /**
   * Publishes records immediately that call a linked peer suspect or dead, so that the peer refutes
   * them. A linked peer probably runs, as after a network partition, and its instances get no calls
   * until it has refuted.
   */
  function notifySuspectedPeers(records: readonly Member[]): void {
    const linked = new Set(network.peers.map(({ process }) => process.host));
    const suspectedPeers = records.filter(({ process, state }) =>
      (state === "suspect" || state === "dead") && linked.has(process.host)
    );
    suspectedPeers.forEach(({ process }) => publish("members", process.host));
    if (suspectedPeers.length > 0) {
      flush();
    }
  }

  function handleDigests(peer: Peer, { scope, digests }: DigestsMessage): void {
    if (
      !mayExchange(peer, scope) || asArray(digests).length !== DIGEST_BUCKETS
    ) {
      return;
    }
    const buckets = stores[scope].findDifferences(digests);
    const stamps = stores[scope].stampsIn(buckets);
    const message: StampsMessage = {
      kind: "record-stamps",
      scope,
      buckets,
      stamps,
    };
    network.send(peer.process.host, message);
    sendDeadMembers(peer, scope);
  }

  /**
   * Sends the records of dead members to a new process. Digests leave these records out, because
   * members remove them at different times. A new member needs them, since other members may still
   * rely on the dead ones.
   */
  function sendDeadMembers(peer: Peer, scope: RecordScope): void {
    if (
      scope === "members" &&
      clock.now() - peer.process.startedAt < NEW_PROCESS_AGE_MS
    ) {
      const dead = [...stores.members.values()].filter(({ state }) =>
        state === "dead"
      );
      sendRecords(peer.process.host, { members: dead }, true);
    }
  }

  function handleStamps(peer: Peer, message: StampsMessage): void {
    const { scope, buckets, stamps } = message;
    if (!mayExchange(peer, scope) || !asArray(stamps).every(isStampEntry)) {
      return;
    }
    sendDeadMembers(peer, scope);
    const { host } = peer.process;
    const { newer, wanted } = stores[scope].compare(asArray(buckets), stamps);
    sendRecords(host, { [scope]: newer }, isBulk(newer));
    if (wanted.length > 0) {
      const request: RecordRequestMessage = {
        kind: "record-request",
        scope,
        keys: wanted,
      };
      network.send(host, request);
    }
  }

  function handleRecordRequest(
    peer: Peer,
    { scope, keys }: RecordRequestMessage,
  ): void {
    if (mayExchange(peer, scope)) {
      const records = asArray(keys).map((key) => stores[scope].get(String(key)))
        .filter((record) => record !== undefined);
      sendRecords(peer.process.host, { [scope]: records }, isBulk(records));
    }
  }

  function mayExchange(peer: Peer, scope: RecordScope): boolean {
    return scope === "summaries" || (scope === "members" && isLocal(peer));
  }

  function startExchange(peer: Peer, scope: RecordScope): void {
    const now = clock.now();
    if (now >= exchangeTimeoutAt[scope]) {
      const message: DigestsMessage = {
        kind: "record-digests",
        scope,
        digests: stores[scope].bucketDigests(),
      };
      if (network.send(peer.process.host, message)) {
        exchangeTimeoutAt[scope] = now + EXCHANGE_TIMEOUT_MS;
      }
    }
  }

  const handlers = {
    "records": (peer: Peer, message: LinkMessage) =>
      handleRecords(peer, message as RecordsMessage),
    "record-digests": (peer: Peer, message: LinkMessage) =>
      handleDigests(peer, message as DigestsMessage),
    "record-stamps": (peer: Peer, message: LinkMessage) =>
      handleStamps(peer, message as StampsMessage),
    "record-request": (peer: Peer, message: LinkMessage) =>
      handleRecordRequest(peer, message as RecordRequestMessage),
  };
  for (const [kind, handler] of Object.entries(handlers)) {
    owned.add(network.onMessage(kind, handler));
  }

  return {
    publish,
    flush,
    compareDigests(peer, members, summaries) {
      if (isLocal(peer) && members !== stores.members.digest) {
        startExchange(peer, "members");
      }
      if (summaries !== stores.summaries.digest) {
        startExchange(peer, "summaries");
      }
    },
    dispose() {
      flushing?.dispose();
      owned.dispose();
    },
  };
}

function isBulk(records: readonly unknown[]): boolean {
  return records.length > MAXIMUM_FORWARDED_RECORDS;
}

function asArray<T>(value: readonly T[] | undefined): readonly T[] {
  return Array.isArray(value) ? value : [];
}

function isStampEntry(value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === "string" &&
    value.slice(1).every(Number.isFinite);
}
