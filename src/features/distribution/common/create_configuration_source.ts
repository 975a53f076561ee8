/**
 * Creates the configuration source of a daemon, which follows the platform and the peers.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import { createDisposableStore } from "../../../base/common/disposable.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import {
  HOUR_MS,
  type Milliseconds,
} from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import type { LogClient } from "../../log/common/log_client.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { ConfigurationSource } from "./configuration_source.ts";
import { startFloorSearch } from "./floor_search.ts";
import { startLogReader } from "./log_reader.ts";
import { createPeerSync } from "./peer_sync.ts";
import { startReaderMonitor } from "./reader_monitor.ts";
import {
  adoptState,
  applyEntries,
  EMPTY_REPLICA,
  type Replica,
} from "./replica.ts";

export interface ConfigurationSourceOptions {
  readonly self: HostIdentity;
  readonly directory: Pick<
    Directory,
    "localMembers" | "remoteMembers" | "departures"
  >;
  readonly network: PeerNetwork;
  readonly logClient: LogClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** How long the platform retains a record. */
  readonly retentionMilliseconds?: Milliseconds;
}

export function createConfigurationSource(
  options: ConfigurationSourceOptions,
): ConfigurationSource {
  const { log } = options;
  const owned = createDisposableStore();
  const changed = owned.add(createEmitter<Configuration>());
  let replica = EMPTY_REPLICA;

  function replaceReplica(next: Replica): void {
    const before = replica.fold;
    if (next.fold.position === before.position) {
      replica = next;
      return;
    }
    // Peers are sent the version before it comes into force, so that they know the floor of this
    // host even if the process dies right afterwards.
    peerSync.announce(next);
    replica = next;
    const { configuration } = next.fold;
    if (configuration.version > before.configuration.version) {
      log.write("info", "configuration.applied", {
        version: configuration.version,
      });
      changed.fire(configuration);
    }
    floorSearch.update();
  }

  const shared = {
    ...options,
    getReplica: () => replica,
    getState: () => replica.fold,
    applyEntries: (entries: Parameters<typeof applyEntries>[1]) =>
      replaceReplica(applyEntries(replica, entries)),
    adoptState: (state: Parameters<typeof adoptState>[1]) =>
      replaceReplica(adoptState(replica, state)),
  };
  const peerSync = owned.add(createPeerSync(shared));
  const floorSearch = owned.add(startFloorSearch({
    ...shared,
    findVersion: peerSync.findVersion,
    isCurrentWithPeersExcept: peerSync.isCurrentWithPeersExcept,
  }));

  const readerMonitor = owned.add(startReaderMonitor(options));
  owned.add(startLogReader({
    ...shared,
    retentionMilliseconds: options.retentionMilliseconds ?? 24 * HOUR_MS,
    isReader: () => readerMonitor.isReading,
    reportLogEnd() {
      readerMonitor.reportLogEnd();
      floorSearch.reportLogEnd();
    },
  }));

  return {
    get current() {
      return replica.fold.configuration;
    },
    get position() {
      return replica.fold.position;
    },
    get isReady() {
      return floorSearch.isReached;
    },
    onChanged: changed.event,
    findVerdict: (identity) => replica.fold.verdicts.get(identity),
    dispose: () => owned.dispose(),
  };
}
