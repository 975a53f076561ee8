/**
 * The configuration in force on this daemon. A version is taken whole, and only when it is newer.
 *
 * @module
 */

import { createEmitter, type Event } from "../../base/common/emitter.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import type {
  MeshConfiguration,
  RolloutOrder,
} from "../../world/common/mesh_configuration.ts";
import type { OperatorRecord } from "../../features/operator/common/operator_records.ts";
import {
  buildHostRoutes,
  type HostRoutes,
} from "../../features/table/common/host_routes.ts";
import type { MeshPlatform } from "./mesh_platform.ts";

export interface PlacedOrder {
  readonly order: RolloutOrder;
  readonly offset: number;
}

export interface MeshState {
  readonly configuration: MeshConfiguration | undefined;
  readonly routes: HostRoutes | undefined;
  readonly onConfiguration: Event<MeshConfiguration>;
  /** Takes records of the operator; returns the orders among them. */
  apply(records: readonly OperatorRecord[]): readonly PlacedOrder[];
}

export function createMeshState(
  { log, platform }: {
    readonly log: EventLog;
    readonly platform: Pick<MeshPlatform, "decodeRecord">;
  },
): MeshState {
  const changed = createEmitter<MeshConfiguration>();
  let configuration: MeshConfiguration | undefined;
  let routes: HostRoutes | undefined;

  function takeConfiguration(next: MeshConfiguration, offset: number): void {
    const isNewer = configuration === undefined ||
      next.version > configuration.version;
    log.write("info", "configuration.read", {
      version: next.version,
      offset,
      replaces: configuration?.version,
      routes: next.routes.length,
      outcome: isNewer ? "in-force" : "older",
    });
    if (isNewer) {
      configuration = next;
      routes = buildHostRoutes(next);
      changed.fire(next);
    }
  }

  function applyOne(record: OperatorRecord): PlacedOrder | undefined {
    const { key, offset } = record;
    const document = platform.decodeRecord(record);
    switch (document.type) {
      case "configuration":
        takeConfiguration(document.configuration, offset);
        return undefined;
      case "rollout":
        return { order: document.order, offset };
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
    onConfiguration: changed.event,
    apply: (records) =>
      records.map(applyOne).filter((placed) => placed !== undefined),
  };
}
