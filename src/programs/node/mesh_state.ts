/**
 * The configuration in force on this daemon. A version is applied as a whole, and only when it is
 * newer than the current one. Keeps the failure domains that are evacuated, too.
 *
 * @module
 */

import { createEmitter, type Event } from "../../base/common/emitter.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type {
  MeshConfiguration,
  RolloutOrder,
} from "../../world/common/mesh_configuration.ts";
import {
  type AccountDirectory,
  buildAccountDirectory,
} from "../../features/account/common/account_directory.ts";
import {
  createEvacuationRegister,
  type EvacuationRegister,
} from "../../features/evacuation/common/evacuation_register.ts";
import type { OperatorRecord } from "../../features/operator/common/operator_records.ts";
import {
  buildHostRoutes,
  type HostRoutes,
} from "../../features/table/common/host_routes.ts";
import type { MeshPlatform } from "./mesh_platform.ts";

export interface ReceivedOrder {
  readonly order: RolloutOrder;
  readonly offset: number;
}

export interface MeshState {
  readonly configuration: MeshConfiguration | undefined;
  readonly routes: HostRoutes | undefined;
  /** Undefined if callers need no key. */
  readonly accounts: AccountDirectory | undefined;
  readonly onConfiguration: Event<MeshConfiguration>;
  readonly evacuations: EvacuationRegister;
  /** Applies records of the operator and returns the rollout orders among them. */
  apply(records: readonly OperatorRecord[]): readonly ReceivedOrder[];
}

export function createMeshState(
  { log, platform }: {
    readonly log: EventLog;
    readonly platform: Pick<MeshPlatform, "decodeRecord">;
  },
): MeshState {
  const evacuations = createEvacuationRegister();
  const configurationEmitter = createEmitter<MeshConfiguration>();
  let configuration: MeshConfiguration | undefined;
  let routes: HostRoutes | undefined;
  let accounts: AccountDirectory | undefined;

  function applyConfiguration(next: MeshConfiguration, offset: number): void {
    const isNewer = configuration === undefined ||
      next.version > configuration.version;
    log.write("info", "configuration.read", {
      version: String(next.version),
      offset,
      replaces: configuration && String(configuration.version),
      routes: next.routes.length,
      accounts: next.accounts?.size,
      outcome: isNewer ? "in-force" : "older",
    });
    if (isNewer) {
      configuration = next;
      routes = buildHostRoutes(next);
      accounts = buildAccountDirectory(next);
      configurationEmitter.fire(next);
    }
  }

  function applyRecord(record: OperatorRecord): ReceivedOrder | undefined {
    const { key, offset } = record;
    const document = platform.decodeRecord(record);
    switch (document.type) {
      case "configuration":
        applyConfiguration(document.configuration, offset);
        return undefined;
      case "rollout":
        return { order: document.order, offset };
      case "evacuation":
        evacuations.apply(document.order);
        return undefined;
      case "invalid":
        log.write("error", "operator.record-invalid", {
          key,
          offset,
          reason: document.reason,
        });
        return undefined;
      case "unknown":
        log.write("warn", "operator.record-unknown", { key, offset });
        return undefined;
    }
  }

  return {
    get configuration() {
      return configuration;
    },
    get routes() {
      return routes;
    },
    get accounts() {
      return accounts;
    },
    onConfiguration: configurationEmitter.event,
    evacuations,
    apply: (records) =>
      records.map(applyRecord).filter((placed) => placed !== undefined),
  };
}
