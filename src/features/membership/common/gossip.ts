/**
 * The spread of records over links: changes at once, what was missed by digest exchange.
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

/** Changes wait this long, so that many changes at once go out in one message. */
const BATCH_DELAY_MS: Milliseconds = 50;

/**
 * A digest exchange that brings more records than this does not cause further messages: the
 * other peers learn them by their own exchanges, if they lack them at all.
 */
const MAXIMUM_FORWARDED_RECORDS = 16;

/** One exchange at a time, so that a new member does not get all records from every peer. */
const EXCHANGE_TIMEOUT_MS: Milliseconds = 1_000;

/** A process younger than this is told of the dead. */
const NEW_PROCESS_MS: Milliseconds = 30_000;

/** The two kinds of records: members of the own failure domain and summaries of all. */
export type RecordScope = "members" | "summaries";

export interface GossipOptions {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly failureDomain: FailureDomainName;
  readonly members: RecordStore<Member>;
  readonly summaries: RecordStore<SummaryRecord>;
  /** Takes a record that arrived; returns whether it was new. */
  readonly acceptMember: (record: Member) => boolean;
  readonly acceptSummary: (record: SummaryRecord) => boolean;
  /** Called after the records of a message have been taken. */
  readonly onTaken: () => void;
}

export interface Gossip extends Disposable {
  /** Sends a record to all peers but the one that it came from. */
  publish(scope: RecordScope, key: string, source?: HostName): void;
  /** Sends at once what waits. */
  flush(): void;
  /** Compares digests that a heartbeat brought, and starts an exchange when they differ. */
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

interface WantedMessage extends LinkMessage {
  readonly scope: RecordScope;
  readonly keys: readonly string[];
}

export function createGossip(options: GossipOptions): Gossip {
  const { network, clock, failureDomain } = options;
  const stores = { members: options.members, summaries: options.summaries };
  const waiting = {
    members: new Map<string, HostName | undefined>(),
    summaries: new Map<string, HostName | undefined>(),
  };
  const exchangeUntil = { members: -Infinity, summaries: -Infinity };
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
      [...waiting[scope]].filter(([, source]) => source !== to)
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
    waiting.members.clear();
    waiting.summaries.clear();
  }

  function publish(scope: RecordScope, key: string, source?: HostName): void {
    waiting[scope].set(key, source);
    flushing ??= clock.schedule(BATCH_DELAY_MS, flush);
  }

  function takeRecords(peer: Peer, message: RecordsMessage): void {
    const local = isLocal(peer) && Array.isArray(message.members);
    const members = (local ? message.members : [])
      .map((wire) => decodeMember(wire, failureDomain))
      .filter((record) => record !== undefined && options.acceptMember(record));
    const summaries = asList(message.summaries).map(decodeSummary)
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
      options.onTaken();
    }
    askToRefute(members.filter((record) => record !== undefined));
  }

  /**
   * A linked peer that others say is gone probably runs, as after a split. It must learn so at
   * once: until it refutes, its instances are given no work.
   */
  function askToRefute(records: readonly Member[]): void {
    const linked = new Set(network.peers.map(({ process }) => process.host));
    const doubted = records.filter(({ process, state }) =>
      (state === "suspect" || state === "dead") && linked.has(process.host)
    );
    doubted.forEach(({ process }) => publish("members", process.host));
    if (doubted.length > 0) {
      flush();
    }
  }

  function takeDigests(peer: Peer, { scope, digests }: DigestsMessage): void {
    if (
      !mayExchange(peer, scope) || asList(digests).length !== DIGEST_BUCKETS
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
    introduceDead(peer, scope);
  }

  /**
   * Digests leave out the dead, whom members forget at different times. A new member needs them
   * to know that others may still count on them.
   */
  function introduceDead(peer: Peer, scope: RecordScope): void {
    if (
      scope === "members" &&
      clock.now() - peer.process.startedAt < NEW_PROCESS_MS
    ) {
      const dead = [...stores.members.values()].filter(({ state }) =>
        state === "dead"
      );
      sendRecords(peer.process.host, { members: dead }, true);
    }
  }

  function takeStamps(peer: Peer, message: StampsMessage): void {
    const { scope, buckets, stamps } = message;
    if (!mayExchange(peer, scope) || !asList(stamps).every(isStampEntry)) {
      return;
    }
    introduceDead(peer, scope);
    const { host } = peer.process;
    const { newer, wanted } = stores[scope].compare(asList(buckets), stamps);
    sendRecords(host, { [scope]: newer }, isBulk(newer));
    if (wanted.length > 0) {
      const request: WantedMessage = {
        kind: "record-request",
        scope,
        keys: wanted,
      };
      network.send(host, request);
    }
  }

  function takeWanted(peer: Peer, { scope, keys }: WantedMessage): void {
    if (mayExchange(peer, scope)) {
      const records = asList(keys).map((key) => stores[scope].get(String(key)))
        .filter((record) => record !== undefined);
      sendRecords(peer.process.host, { [scope]: records }, isBulk(records));
    }
  }

  function mayExchange(peer: Peer, scope: RecordScope): boolean {
    return scope === "summaries" || (scope === "members" && isLocal(peer));
  }

  function startExchange(peer: Peer, scope: RecordScope): void {
    const now = clock.now();
    if (now >= exchangeUntil[scope]) {
      const message: DigestsMessage = {
        kind: "record-digests",
        scope,
        digests: stores[scope].bucketDigests(),
      };
      if (network.send(peer.process.host, message)) {
        exchangeUntil[scope] = now + EXCHANGE_TIMEOUT_MS;
      }
    }
  }

  const handlers = {
    "records": (peer: Peer, message: LinkMessage) =>
      takeRecords(peer, message as RecordsMessage),
    "record-digests": (peer: Peer, message: LinkMessage) =>
      takeDigests(peer, message as DigestsMessage),
    "record-stamps": (peer: Peer, message: LinkMessage) =>
      takeStamps(peer, message as StampsMessage),
    "record-request": (peer: Peer, message: LinkMessage) =>
      takeWanted(peer, message as WantedMessage),
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

function asList<T>(value: readonly T[] | undefined): readonly T[] {
  return Array.isArray(value) ? value : [];
}

function isStampEntry(value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === "string" &&
    value.slice(1).every(Number.isFinite);
}
