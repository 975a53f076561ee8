/**
 * Creates the features of a daemon in the order of their dependencies.
 *
 * @module
 */

import type { Clock } from "../../base/common/clock.ts";
import type { DisposableStore } from "../../base/common/disposable.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type { RandomSource } from "../../base/common/random_source.ts";
import { createAdmissionController } from "../../features/admission/common/admission_controller.ts";
import { createProxy, type Proxy } from "../../features/attempt/node/proxy.ts";
import { createClaimClient } from "../../features/claim/common/create_claim_client.ts";
import type { ConfigurationSource } from "../../features/distribution/common/configuration_source.ts";
import { createConfigurationSource } from "../../features/distribution/common/create_configuration_source.ts";
import {
  createConfiguredEvacuations,
  createPlacementDirectory,
} from "../../features/evacuation/common/configured_evacuations.ts";
import type { EvacuationRegister } from "../../features/evacuation/common/evacuation_register.ts";
import type { PeerNetwork } from "../../features/link/common/peer_network.ts";
import type { LogClient } from "../../features/log/common/log_client.ts";
import { createHttpLogClient } from "../../features/log/node/http_log_client.ts";
import { createDirectory } from "../../features/membership/common/create_directory.ts";
import type { Directory } from "../../features/membership/common/directory.ts";
import {
  createTrafficShift,
  type MonitoredTrafficShift,
} from "../../features/move/common/shift_service.ts";
import { createInstanceRouter } from "../../features/routing/common/router.ts";
import {
  createRoutingTableManager,
  type RoutingTableManager,
} from "../../features/table/common/routing_table_manager.ts";
import type { HostIdentity } from "../../world/common/host.ts";
import type { DaemonSettings } from "../common/daemon_settings.ts";

export interface DaemonContext {
  readonly settings: DaemonSettings;
  readonly self: HostIdentity;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** Disposes the features when the daemon stops. */
  readonly disposables: DisposableStore;
}

export interface DaemonFeatures {
  readonly configuration: ConfigurationSource;
  readonly directory: Directory;
  readonly evacuations: EvacuationRegister;
  readonly isReady: () => boolean;
  readonly logClient: LogClient;
  readonly network: PeerNetwork;
  readonly proxy: Proxy;
  readonly shift: MonitoredTrafficShift;
  readonly tables: RoutingTableManager;
}

export function createDaemonFeatures(context: DaemonContext): DaemonFeatures {
  const { settings, network, clock, log, disposables } = context;
  const { address, port } = settings.platform;
  const logClient = disposables.add(
    createHttpLogClient({ url: `http://${address}:${port}` }),
  );
  const directory = disposables.add(createDirectory({
    ...context,
    seeds: settings.seeds.map((seed) => ({
      host: seed.host,
      address: seed.address,
      port: seed.linkPort,
    })),
    readConfiguration: () => ({
      logPosition: configuration.position,
      appliedVersion: configuration.current.version,
    }),
  }));
  const configuration: ConfigurationSource = disposables.add(
    createConfigurationSource({ ...context, directory, logClient }),
  );
  const evacuations = disposables.add(
    createConfiguredEvacuations({ configuration, log }),
  );
  const placement = disposables.add(
    createPlacementDirectory(directory, evacuations),
  );
  const tables = disposables.add(
    createRoutingTableManager({
      source: configuration,
      directory: placement,
      clock,
      log,
    }),
  );
  const shift = disposables.add(
    createTrafficShift({
      ...context,
      directory: placement,
      configuration,
      logClient,
    }),
  );
  const admission = disposables.add(createAdmissionController({
    configuration: () => configuration.current,
    directory,
    network,
    clock,
    log,
  }));
  const proxy = disposables.add(createProxy({
    ...context,
    table: () => (configuration.isReady ? tables.current : undefined),
    admission,
    limits: settings.limits,
    claims: disposables.add(createClaimClient({ ...context, directory })),
    router: disposables.add(
      createInstanceRouter({ ...context, directory: placement, shift }),
    ),
    shift,
  }));
  return {
    configuration,
    directory,
    evacuations,
    isReady: () => configuration.isReady && admission.isEstablished,
    logClient,
    network,
    proxy,
    shift,
    tables,
  };
}
