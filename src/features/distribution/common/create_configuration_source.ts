/**
 * The configuration of a daemon, kept current from the platform and from peers.
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
import { startReaderWatch } from "./reader_watch.ts";
import {
  adoptState,
  EMPTY_REPLICA,
  type Replica,
  takeEntries,
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
  /** How long the platform keeps a record. */
  readonly retentionMilliseconds?: Milliseconds;
}

export function createConfigurationSource(
  options: ConfigurationSourceOptions,
): ConfigurationSource {
  const { log } = options;
  const owned = createDisposableStore();
  const changed = owned.add(createEmitter<Configuration>());
  let replica = EMPTY_REPLICA;

  function replace(next: Replica): void {
    const before = replica.fold;
    if (next.fold.position === before.position) {
      replica = next;
      return;
    }
    // Peers learn the version before it is in force, so that they know the floor of this host
    // even if the process dies right after.
    sync.announce(next);
    replica = next;
    const { configuration } = next.fold;
    if (configuration.version > before.configuration.version) {
      log.write("info", "configuration.applied", {
        version: configuration.version,
      });
      changed.fire(configuration);
    }
    floor.update();
  }

  const shared = {
    ...options,
    getReplica: () => replica,
    getState: () => replica.fold,
    takeEntries: (entries: Parameters<typeof takeEntries>[1]) =>
      replace(takeEntries(replica, entries)),
    adoptState: (state: Parameters<typeof adoptState>[1]) =>
      replace(adoptState(replica, state)),
  };
  const sync = owned.add(createPeerSync(shared));
  const floor = owned.add(startFloorSearch({
    ...shared,
    findVersion: sync.findVersion,
    isCurrentWithout: sync.isCurrentWithout,
  }));

  const watch = owned.add(startReaderWatch(options));
  owned.add(startLogReader({
    ...shared,
    retentionMilliseconds: options.retentionMilliseconds ?? 24 * HOUR_MS,
    isReader: () => watch.isReading,
    reportLogEnd() {
      watch.reportLogEnd();
      floor.reportLogEnd();
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
      return floor.isReached;
    },
    onChanged: changed.event,
    findVerdict: (identity) => replica.fold.verdicts.get(identity),
    dispose: () => owned.dispose(),
  };
}
