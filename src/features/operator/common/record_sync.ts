/**
 * Keeps the operator's records of a daemon up to date: from the store where this daemon is its
 * failure domain's reader, otherwise from peers.
 *
 * @module
 */

import { computeBackoff } from "../../../base/common/backoff.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { MeshStore } from "./mesh_store.ts";
import {
  createOperatorRecords,
  NO_POSITION,
  type OperatorRecord,
  type RecordRange,
} from "./operator_records.ts";
import { chooseFetchSource, fetchRetryDelay } from "./fetch_choice.ts";
import { chooseReader, type ReaderCandidate } from "./reader_choice.ts";
import {
  type Compression,
  createRecordPacker,
  type PackedRange,
} from "./record_compression.ts";
import {
  type CompactRange,
  compactRange,
  restoreRange,
} from "./record_difference.ts";

/**
 * Much shorter than the store allows: a poll on a connection that went silent, or one that the store took while
 * it answered nothing, is waited for until its time is over, and newer configurations with it.
 */
const LONG_POLL_MS: Milliseconds = 2_000;
/** Records that follow each other closely are read together. */
const BATCH_MS: Milliseconds = 150;
/** How long another failure domain may be ahead before its records are fetched. */
const BEHIND_MS: Milliseconds = 250;
/** How often a daemon that does not reach the store tries again. */
const STORE_BACKOFF = { baseMilliseconds: 200, capMilliseconds: 1_500 };
/** How often a daemon looks whether it has become the reader of its failure domain. */
const READER_CHECK_MS: Milliseconds = 200;

const STORE_SOURCE = "store";
const UPDATE_KIND = "operator.update";
const FETCH_KIND = "operator.fetch";

interface UpdateMessage extends LinkMessage, PackedRange {}

interface FetchMessage extends LinkMessage {
  readonly after: number;
  /** The offset of the record that is held for each key. */
  readonly held: Readonly<Record<string, number>>;
}

export interface RecordSyncOptions {
  readonly self: {
    readonly host: HostName;
    readonly failureDomain: FailureDomainName;
  };
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly store: MeshStore;
  readonly compression: Compression;
  /** The daemons that are linked to this one, and this one. */
  readonly candidates: () => readonly ReaderCandidate[];
}

export interface ArrivedRecords {
  readonly records: readonly OperatorRecord[];
  /** Whether they are the first that this daemon reads; they may be old. */
  readonly isFirst: boolean;
}

export interface RecordSync extends Disposable {
  readonly position: number;
  readonly reachesStore: boolean;
  /** Fires with records that are newer than those held before. */
  readonly onRecords: Event<ArrivedRecords>;
  /** Fires when the position or the reachability of the store has changed. */
  readonly onChanged: Event<void>;
  /** Takes note of the position that a peer has told. */
  updatePeerPosition(host: HostName, position: number): void;
  start(): void;
}

export function createRecordSync(options: RecordSyncOptions): RecordSync {
  const { clock, log, network, self, store } = options;
  const records = createOperatorRecords();
  const packer = createRecordPacker(options.compression);
  const arrived = createEmitter<ArrivedRecords>();
  const changed = createEmitter<void>();
  let reachesStore = true;
  let failures = 0;
  let disposed = false;
  let polling: AbortController | undefined;
  let checkTimer: Disposable | undefined;
  /** The positions of daemons that have told a later one than the own. */
  const ahead = new Map<HostName, number>();
  let behindSince: Milliseconds = 0;
  let fetches = 0;
  let lastAsked: HostName | undefined;

  function apply(range: RecordRange, source: string): void {
    const before = records.position;
    const newer = records.apply(range);
    if (newer.length > 0) {
      log.write("info", "operator.records-applied", {
        source,
        count: newer.length,
        position: records.position,
      });
      arrived.fire({ records: newer, isFirst: before === NO_POSITION });
    }
    forgetCaughtUp();
    if (records.position !== before) {
      changed.fire();
    }
    if (range.position > records.position && source !== STORE_SOURCE) {
      notePosition(source, range.position);
    }
  }

  function notePosition(host: HostName, position: number): void {
    if (position <= records.position) {
      return;
    }
    if (ahead.size === 0) {
      behindSince = clock.now();
    }
    ahead.set(host, position);
    if (records.position === NO_POSITION && fetches === 0) {
      checkBehind();
    } else {
      scheduleCheck(behindSince + BEHIND_MS - clock.now());
    }
  }

  function forgetCaughtUp(): void {
    for (const [host, position] of ahead) {
      if (position <= records.position) {
        ahead.delete(host);
      }
    }
    if (ahead.size === 0) {
      fetches = 0;
      lastAsked = undefined;
    }
  }

  function setReachesStore(value: boolean, reason?: string): void {
    failures = value ? 0 : failures + 1;
    if (reachesStore !== value) {
      reachesStore = value;
      log.write(
        value ? "info" : "warn",
        value ? "store.regained" : "store.lost",
        {
          reason,
        },
      );
      changed.fire();
    }
  }

  function isReader(): boolean {
    const reader = chooseReader(self.failureDomain, options.candidates());
    return reader === self.host;
  }

  function notifyDomain(range: CompactRange): void {
    const message: UpdateMessage = { kind: UPDATE_KIND, ...range };
    for (const peer of network.peers) {
      if (peer.failureDomain === self.failureDomain) {
        network.send(peer.process.host, message);
      }
    }
  }

  async function run(): Promise<void> {
    while (!disposed) {
      if (records.position === NO_POSITION) {
        await readNewest();
      } else if (isReader()) {
        await poll();
      } else if (!reachesStore) {
        await clock.sleep(
          computeBackoff(failures, options.random, STORE_BACKOFF),
        );
        if (!disposed && !reachesStore) {
          await poll(0);
        }
      } else {
        await clock.sleep(READER_CHECK_MS);
      }
    }
  }

  async function readNewest(): Promise<void> {
    const read = await store.readNewestRecords();
    if (read.ok) {
      setReachesStore(true);
      apply({ ...read.val, from: NO_POSITION }, STORE_SOURCE);
      return;
    }
    setReachesStore(false, read.val.message);
    await clock.sleep(
      100 + computeBackoff(failures, options.random, STORE_BACKOFF),
    );
  }

  async function poll(waitMilliseconds = LONG_POLL_MS): Promise<void> {
    const position = records.position;
    const controller = new AbortController();
    polling = controller;
    const read = await store.readRecords(position, {
      waitMilliseconds,
      signal: controller.signal,
    });
    polling = undefined;
    if (disposed) {
      return;
    }
    if (read.err) {
      if (controller.signal.aborted) {
        log.write("info", "operator.poll-abandoned", { position });
      } else {
        setReachesStore(false, read.val.message);
      }
      await clock.sleep(
        computeBackoff(failures, options.random, STORE_BACKOFF),
      );
      return;
    }
    setReachesStore(true);
    if (read.val === "expired") {
      log.write("info", "operator.position-expired", { position });
      await readNewest();
      return;
    }
    const range = { ...read.val, from: position };
    const compact = compactRange(range, records.find);
    apply(range, STORE_SOURCE);
    if (range.records.length > 0) {
      notifyDomain(compact);
      await clock.sleep(BATCH_MS);
    }
  }

  function scheduleCheck(delay: Milliseconds): void {
    checkTimer ??= clock.schedule(Math.max(0, delay) + 1, () => {
      checkTimer = undefined;
      checkBehind();
    });
  }

  /** Fetches what another daemon has when the own reader does not bring it. */
  function checkBehind(): void {
    forgetCaughtUp();
    const source = chooseFetchSource(
      [...ahead.keys()].map((host) => ({
        host,
        failureDomain: network.findPeer(host)?.failureDomain,
      })),
      { ownFailureDomain: self.failureDomain, lastAsked },
      options.random,
    );
    if (source === undefined) {
      return;
    }
    log.write("info", "operator.behind", {
      peer: source.host,
      position: records.position,
      theirs: ahead.get(source.host),
      behind: Math.round(clock.now() - behindSince),
    });
    const message: FetchMessage = {
      kind: FETCH_KIND,
      after: records.position,
      held: records.offsets,
    };
    if (!network.send(source.host, message)) {
      ahead.delete(source.host);
    }
    // A poll that has not brought what another daemon has already read may be on a dead connection.
    polling?.abort();
    lastAsked = source.host;
    fetches += 1;
    scheduleCheck(fetchRetryDelay(fetches));
  }

  const registrations = [
    network.onMessage(UPDATE_KIND, (peer, message) => {
      const update = message as UpdateMessage;
      const unpacked = packer.unpack(update);
      if (unpacked === undefined) {
        log.write("error", "operator.update-unreadable", {
          peer: peer.process.host,
          theirs: update.position,
        });
        return;
      }
      const range = restoreRange(unpacked, records.find);
      if (range === undefined) {
        log.write("info", "operator.base-missing", {
          peer: peer.process.host,
          position: records.position,
          theirs: update.position,
        });
        notePosition(peer.process.host, update.position);
        return;
      }
      apply(range, peer.process.host);
    }),
    network.onMessage(FETCH_KIND, (peer, message) => {
      const { after, held } = message as FetchMessage;
      const range = {
        records: records.since(after),
        from: after,
        position: records.position,
      };
      const update: UpdateMessage = {
        kind: UPDATE_KIND,
        ...packer.pack(
          compactRange(
            range,
            (key) => records.findAt(key, held[key] ?? NO_POSITION),
          ),
        ),
      };
      network.send(peer.process.host, update);
    }),
  ];

  return {
    get position() {
      return records.position;
    },
    get reachesStore() {
      return reachesStore;
    },
    onRecords: arrived.event,
    onChanged: changed.event,
    updatePeerPosition: notePosition,
    start() {
      run().catch((error) =>
        log.write("error", "operator.sync-failed", { error: String(error) })
      );
    },
    dispose() {
      disposed = true;
      checkTimer?.dispose();
      polling?.abort();
      for (const registration of registrations) {
        registration.dispose();
      }
      arrived.dispose();
      changed.dispose();
    },
  };
}
