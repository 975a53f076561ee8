/**
 * Hands records that the store has lost to daemons that start before the operator has written them again.
 *
 * When the store comes back from an older copy, the configuration of the copy may be older than the one in force. The
 * daemons that know the newer one keep it. A daemon that starts then reads the copy, and would accept withdrawn keys
 * until the operator has written its configuration again. Therefore it asks some peers for what they keep. What it gets
 * is no record of the store: it is not part of the copy of the records, and the receiver decides by its version.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { HostName } from "../../../world/common/names.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import {
  NO_POSITION,
  type OperatorRecord,
  type OperatorRecords,
  type RecordRules,
} from "./operator_records.ts";
import type { PackedRange, RecordPacker } from "./record_compression.ts";

/** A peer may have started in the same era; a configuration is large. */
const MAXIMUM_REQUESTS = 2;
/** Bounds the memory: one record is added for each rewind until the next record of the key is read. */
const MAXIMUM_RECORDS_PER_KEY = 4;

const REQUEST_KIND = "operator.retained-request";
const RETAINED_KIND = "operator.retained";

interface RetainedMessage extends LinkMessage, PackedRange {}

export interface RetainedRecordsOptions {
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly records: OperatorRecords;
  readonly rules: RecordRules;
  readonly packer: RecordPacker;
  readonly onReceived: (records: readonly OperatorRecord[]) => void;
}

export interface RetainedRecords extends Disposable {
  /** Must be called before records are applied. */
  noteReplaced(newRecords: readonly OperatorRecord[]): void;
  /** Asks the peer, if it is one of the first that are known and this daemon has started in an era after the first. */
  notePeer(host: HostName): void;
  /** Must be called after records were applied. */
  requestRecords(): void;
}

export function createRetainedRecords(
  { log, network, records, rules, packer, onReceived }: RetainedRecordsOptions,
): RetainedRecords {
  const { locate, isPermanent } = rules;
  /**
   * By key, the records of older eras that a record of the copy has replaced. After several rewinds the newest version
   * can be any of them.
   */
  const retained = new Map<string, readonly OperatorRecord[]>();
  /** Peers to ask, and those that were asked. */
  const peers = new Set<HostName>();
  const asked = new Set<HostName>();
  let firstEra: number | undefined;

  function retain(record: OperatorRecord): void {
    const known = retained.get(record.key) ?? [];
    if (known.every(({ value }) => Buffer.compare(value, record.value) !== 0)) {
      retained.set(
        record.key,
        [...known, record].slice(-MAXIMUM_RECORDS_PER_KEY),
      );
    }
  }

  function noteReplacement(record: OperatorRecord): void {
    const held = records.find(record.key);
    if (
      held === undefined || !isPermanent(record.key) ||
      record.offset <= held.offset
    ) {
      return;
    }
    if (locate(record.offset).era === locate(held.offset).era) {
      retained.delete(record.key);
    } else if (Buffer.compare(record.value, held.value) !== 0) {
      retain(held);
    }
  }

  function requestRecords(): void {
    if (records.position === NO_POSITION) {
      return;
    }
    const { era } = locate(records.position);
    firstEra ??= era;
    if (era === 0 || era !== firstEra) {
      return;
    }
    for (const host of peers) {
      peers.delete(host);
      if (network.send(host, { kind: REQUEST_KIND })) {
        asked.add(host);
      }
    }
  }

  const registrations = [
    network.onMessage(REQUEST_KIND, (peer) => {
      if (retained.size > 0) {
        const message: RetainedMessage = {
          kind: RETAINED_KIND,
          ...packer.pack({
            records: [...retained.values()].flat(),
            from: records.position,
            position: records.position,
          }),
        };
        network.send(peer.process.host, message);
      }
    }),
    network.onMessage(RETAINED_KIND, (peer, message) => {
      const unpacked = packer.unpack(message as RetainedMessage);
      const received = unpacked?.records.filter((record) =>
        "value" in record
      ) ?? [];
      log.write("info", "operator.retained-received", {
        peer: peer.process.host,
        count: received.length,
      });
      received.forEach(retain);
      onReceived(received);
    }),
  ];

  return {
    noteReplaced: (newRecords) => newRecords.forEach(noteReplacement),
    notePeer(host) {
      if (!asked.has(host) && asked.size + peers.size < MAXIMUM_REQUESTS) {
        peers.add(host);
        requestRecords();
      }
    },
    requestRecords,
    dispose() {
      for (const registration of registrations) {
        registration.dispose();
      }
    },
  };
}
