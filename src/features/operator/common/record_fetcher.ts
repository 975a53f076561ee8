/**
 * Fetches records from another daemon when the reader of this failure domain has not sent them.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import { HEARTBEAT_TOLERANCE_MS } from "../../link/common/link_rules.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import {
  chooseFetchSource,
  computeFetchRetryDelay,
  type FetchSource,
} from "./fetch_choice.ts";
import { NO_POSITION, type OperatorRecords } from "./operator_records.ts";

/** How long another daemon may have newer records before they are fetched from it. */
const FETCH_DELAY_MS: Milliseconds = 250;

export const FETCH_KIND = "operator.fetch";

export interface FetchMessage extends LinkMessage {
  readonly after: number;
  /** The offset of the stored record of each key. */
  readonly held: Readonly<Record<string, number>>;
}

export interface RecordFetcherOptions {
  readonly ownFailureDomain: FailureDomainName;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly records: OperatorRecords;
  /** Called after each request. */
  readonly onRequested: () => void;
}

export interface RecordFetcher extends Disposable {
  /** Records the position that a peer has reported. */
  updatePeerPosition(host: HostName, position: number): void;
  /** Must be called after the position of the records has changed. */
  removeCaughtUpPeers(): void;
}

export function createRecordFetcher(
  options: RecordFetcherOptions,
): RecordFetcher {
  const { clock, log, network, records } = options;
  /** The positions of peers that have reported a later position than this daemon's. */
  const peersAhead = new Map<HostName, number>();
  let timer: Disposable | undefined;
  let behindSince: Milliseconds = 0;
  let attempts = 0;
  let lastSource: HostName | undefined;

  function removeCaughtUpPeers(): void {
    for (const [host, position] of peersAhead) {
      if (position <= records.position) {
        peersAhead.delete(host);
      }
    }
    if (peersAhead.size === 0) {
      attempts = 0;
      lastSource = undefined;
      timer?.dispose();
      timer = undefined;
    }
  }

  function schedule(delay: Milliseconds): void {
    timer ??= clock.schedule(Math.max(0, delay) + 1, () => {
      timer = undefined;
      fetchMissingRecords();
    });
  }

  function chooseSource(): FetchSource | undefined {
    return chooseFetchSource(
      [...peersAhead.keys()].map((host) => ({
        host,
        failureDomain: network.findPeer(host)?.failureDomain,
        isOverdue: network.getOverdueTime(host) > HEARTBEAT_TOLERANCE_MS,
      })),
      { ownFailureDomain: options.ownFailureDomain, lastSource },
      options.random,
    );
  }

  function fetchMissingRecords(): void {
    removeCaughtUpPeers();
    const message: FetchMessage = {
      kind: FETCH_KIND,
      after: records.position,
      held: records.offsets,
    };
    let source = chooseSource();
    while (source !== undefined && !network.send(source.host, message)) {
      peersAhead.delete(source.host);
      source = chooseSource();
    }
    if (source === undefined) {
      return;
    }
    log.write("info", "operator.behind", {
      peer: source.host,
      position: records.position,
      theirs: peersAhead.get(source.host),
      behind: Math.round(clock.now() - behindSince),
    });
    options.onRequested();
    lastSource = source.host;
    attempts += 1;
    schedule(computeFetchRetryDelay(attempts));
  }

  return {
    updatePeerPosition(host, position) {
      if (position <= records.position) {
        return;
      }
      if (peersAhead.size === 0) {
        behindSince = clock.now();
      }
      peersAhead.set(host, position);
      if (records.position === NO_POSITION && attempts === 0) {
        fetchMissingRecords();
      } else {
        schedule(behindSince + FETCH_DELAY_MS - clock.now());
      }
    },
    removeCaughtUpPeers,
    dispose() {
      timer?.dispose();
    },
  };
}
