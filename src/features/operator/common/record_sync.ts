/**
 * Keeps a daemon's copy of the operator's records up to date: from the store if this daemon is a reader of
 * its failure domain, otherwise from peers.
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
  type ApplyOptions,
  createOperatorRecords,
  NO_POSITION,
  type OperatorRecord,
  type RecordRange,
} from "./operator_records.ts";
import {
  createRecordFetcher,
  FETCH_KIND,
  type FetchMessage,
} from "./record_fetcher.ts";
import { chooseReaders, type ReaderCandidate } from "./reader_choice.ts";
import {
  type Compression,
  createRecordPacker,
  type PackedRange,
} from "./record_compression.ts";
import { createRetainedRecords } from "./retained_records.ts";
import { decodeDeltas, type DeltaRange, encodeDeltas } from "./record_delta.ts";

/**
 * Much shorter than the store allows: a poll on a dead connection, or one that the store accepted while it was
 * not answering, delays newer configurations until it is overdue.
 */
const LONG_POLL_MS: Milliseconds = 1_000;
/** A slow store responds up to a few hundred milliseconds late. */
const OVERDUE_POLL_MS: Milliseconds = 500;
/** The pause after a read, so that records written in quick succession are read as one batch. */
const BATCH_DELAY_MS: Milliseconds = 150;
/** The backoff of retries while the store is unreachable. */
const STORE_BACKOFF = { baseMilliseconds: 200, capMilliseconds: 1_500 };
/**
 * How often a daemon that does not read for others checks whether the store is back. It gets the records from
 * those that read.
 */
const STORE_CHECK_INTERVAL_MS: Milliseconds = 5_000;
/** How often a daemon checks whether it has become a reader of its failure domain. */
const READER_CHECK_INTERVAL_MS: Milliseconds = 200;

const STORE_SOURCE = "store";
const UPDATE_KIND = "operator.update";

interface UpdateMessage extends LinkMessage, PackedRange {}

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
  /** This daemon and the daemons that are linked to it. */
  readonly candidates: () => readonly ReaderCandidate[];
}

export interface ReceivedRecords {
  readonly records: readonly OperatorRecord[];
  /** Whether these are the first records since the start of the daemon, or of an era; they may be old. */
  readonly isFirst: boolean;
}

export interface RecordSync extends Disposable {
  readonly position: number;
  readonly reachesStore: boolean;
  /** Whether this daemon reads the store for its failure domain. */
  readonly isReading: boolean;
  /** Fires with records that are newer than the stored ones. */
  readonly onRecords: Event<ReceivedRecords>;
  readonly onPositionChanged: Event<void>;
  /** Fires when the store becomes reachable or unreachable. */
  readonly onReachabilityChanged: Event<void>;
  /** Fires after the records of a later era of the store were read for the first time. */
  readonly onEraChanged: Event<void>;
  /** Records the position that a peer has reported. */
  updatePeerPosition(host: HostName, position: number): void;
  start(): void;
}

export function createRecordSync(options: RecordSyncOptions): RecordSync {
  const { clock, log, network, self, store } = options;
  const records = createOperatorRecords(store);
  const packer = createRecordPacker(options.compression);
  const received = createEmitter<ReceivedRecords>();
  const positionChanged = createEmitter<void>();
  const reachabilityChanged = createEmitter<void>();
  const eraChanged = createEmitter<void>();
  let reachesStore = true;
  let isReading = false;
  let failures = 0;
  /** When a daemon that does not read for others calls a store next that it did not reach. */
  let storeCheckAt: Milliseconds = 0;
  let disposed = false;
  let polling: AbortController | undefined;
  const fetcher = createRecordFetcher({
    ownFailureDomain: self.failureDomain,
    clock,
    random: options.random,
    log,
    network,
    records,
    // A poll that has not returned records that another daemon has read may be on a dead connection.
    onRequested: () => polling?.abort(),
  });

  const retained = createRetainedRecords({
    log,
    network,
    records,
    rules: store,
    packer,
    onReceived: (retainedRecords) =>
      received.fire({ records: retainedRecords, isFirst: true }),
  });

  function apply(
    range: RecordRange,
    source: string,
    applyOptions?: ApplyOptions,
  ): void {
    const before = records.position;
    retained.noteReplaced(range.records);
    const newRecords = records.apply(range, applyOptions);
    const eraBefore = store.locate(before).era;
    const era = store.locate(records.position).era;
    const isEraChanged = before !== NO_POSITION && era !== eraBefore;
    if (isEraChanged) {
      log.write("warn", "store.era-changed", { from: eraBefore, to: era });
    }
    if (applyOptions?.isComplete && before !== NO_POSITION) {
      log.write("info", "operator.records-read-again", {
        position: records.position,
        count: newRecords.length,
        removed: newRecords.filter(({ value }) => value.length === 0).length,
      });
    }
    if (newRecords.length > 0) {
      log.write("info", "operator.records-applied", {
        source,
        count: newRecords.length,
        position: records.position,
      });
      received.fire({
        records: newRecords,
        isFirst: before === NO_POSITION || isEraChanged,
      });
    }
    fetcher.removeCaughtUpPeers();
    retained.requestRecords();
    if (records.position !== before) {
      positionChanged.fire();
    }
    if (isEraChanged) {
      eraChanged.fire();
    }
    if (range.position > records.position && source !== STORE_SOURCE) {
      fetcher.updatePeerPosition(source, range.position);
    }
  }

  function setReachesStore(value: boolean, reason?: string): void {
    failures = value ? 0 : failures + 1;
    storeCheckAt = clock.now() +
      STORE_CHECK_INTERVAL_MS * (0.5 + options.random.nextFraction());
    if (reachesStore !== value) {
      reachesStore = value;
      log.write(
        value ? "info" : "warn",
        value ? "store.regained" : "store.lost",
        {
          reason,
        },
      );
      reachabilityChanged.fire();
    }
  }

  /** The readers of the own failure domain, the one that sends its records to the others first. */
  function listReaders(): readonly HostName[] {
    return chooseReaders(self.failureDomain, options.candidates());
  }

  function updateReading(isNowReading: boolean): void {
    if (isReading !== isNowReading) {
      isReading = isNowReading;
      log.write("info", "operator.reading-changed", { isReading });
    }
  }

  function sendToFailureDomain(range: DeltaRange): void {
    const message: UpdateMessage = {
      kind: UPDATE_KIND,
      ...packer.pack(range),
    };
    const inOwnDomain = network.peers.filter(({ failureDomain }) =>
      failureDomain === self.failureDomain
    );
    network.sendToAll(inOwnDomain.map(({ process }) => process.host), message);
  }

  async function run(): Promise<void> {
    while (!disposed) {
      updateReading(listReaders().includes(self.host));
      if (records.position === NO_POSITION) {
        await readNewest();
      } else if (reachesStore && isReading) {
        await poll();
      } else if (
        !reachesStore && (isReading || clock.now() >= storeCheckAt)
      ) {
        await clock.sleep(
          computeBackoff(failures, options.random, STORE_BACKOFF),
        );
        if (!disposed && !reachesStore) {
          await poll(0);
        }
      } else {
        await clock.sleep(READER_CHECK_INTERVAL_MS);
      }
    }
  }

  async function readNewest(): Promise<void> {
    const read = await store.readNewestRecords();
    if (read.ok) {
      setReachesStore(true);
      apply({ ...read.val, from: NO_POSITION }, STORE_SOURCE, {
        isComplete: true,
      });
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
    let isOverdue = false;
    // A call without a wait finds out whether the store is back, which may be slow, so it has more time.
    const overdueTimer = waitMilliseconds === 0 ? undefined : clock.schedule(
      waitMilliseconds + OVERDUE_POLL_MS,
      () => {
        isOverdue = true;
        controller.abort();
      },
    );
    const read = await store.readRecords(position, {
      waitMilliseconds,
      signal: controller.signal,
    });
    overdueTimer?.dispose();
    polling = undefined;
    if (disposed) {
      return;
    }
    if (read.err) {
      if (controller.signal.aborted && !isOverdue) {
        log.write("info", "operator.poll-abandoned", { position });
      } else {
        setReachesStore(
          false,
          isOverdue ? "the store did not respond in time" : read.val.message,
        );
      }
      await clock.sleep(
        computeBackoff(failures, options.random, STORE_BACKOFF),
      );
      return;
    }
    if (read.val === "expired") {
      log.write("info", "operator.position-expired", { position });
      // Whether the store responds is decided by this read: an offset of an older era is expired without a call.
      await readNewest();
      return;
    }
    setReachesStore(true);
    const range = { ...read.val, from: position };
    if (range.records.length > 0 && listReaders()[0] === self.host) {
      // Before the records are applied, which takes long on a slow host.
      sendToFailureDomain(encodeDeltas(range, records.find));
    }
    apply(range, STORE_SOURCE);
    if (range.records.length > 0) {
      await clock.sleep(BATCH_DELAY_MS);
    }
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
      const range = decodeDeltas(unpacked, records.find);
      if (range === undefined) {
        log.write("info", "operator.base-missing", {
          peer: peer.process.host,
          position: records.position,
          theirs: update.position,
        });
        fetcher.updatePeerPosition(peer.process.host, update.position);
        return;
      }
      apply(range, peer.process.host);
    }),
    network.onMessage(FETCH_KIND, (peer, message) => {
      const { after, held } = message as FetchMessage;
      const range = {
        records: [...records.listSince(after), ...records.listRemovals(held)],
        from: after,
        position: records.position,
      };
      const update: UpdateMessage = {
        kind: UPDATE_KIND,
        ...packer.pack(
          encodeDeltas(
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
    get isReading() {
      return isReading;
    },
    onRecords: received.event,
    onPositionChanged: positionChanged.event,
    onReachabilityChanged: reachabilityChanged.event,
    onEraChanged: eraChanged.event,
    updatePeerPosition(host, position) {
      retained.notePeer(host);
      fetcher.updatePeerPosition(host, position);
    },
    start() {
      run().catch((error) =>
        log.write("error", "operator.sync-failed", { error: String(error) })
      );
    },
    dispose() {
      disposed = true;
      fetcher.dispose();
      retained.dispose();
      polling?.abort();
      for (const registration of registrations) {
        registration.dispose();
      }
      received.dispose();
      positionChanged.dispose();
      reachabilityChanged.dispose();
      eraChanged.dispose();
    },
  };
}
