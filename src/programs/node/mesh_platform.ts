/**
 * What a mesh daemon needs of the platform it runs on. An adapter implements it with the names,
 * formats and calls of that platform and decides nothing.
 *
 * @module
 */

import type { HttpHandler } from "../../base/node/http_server.ts";
import type {
  MeshConfiguration,
  RolloutOrder,
} from "../../world/common/mesh_configuration.ts";
import type {
  InstanceDeparture,
  InstanceReport,
} from "../../world/common/mesh_instance.ts";
import type { MeshHeaders } from "../../features/gate/common/mesh_headers.ts";
import type { MeshStore } from "../../features/operator/common/mesh_store.ts";
import type { OperatorRecord } from "../../features/operator/common/operator_records.ts";

/** A record of the operator, decoded. */
export type OperatorDocument =
  | {
    readonly type: "configuration";
    readonly configuration: MeshConfiguration;
  }
  | { readonly type: "rollout"; readonly order: RolloutOrder }
  | { readonly type: "unknown" }
  | { readonly type: "invalid"; readonly reason: string };

/** What the instance on the host tells. */
export interface InstanceSink {
  report(report: InstanceReport): void;
  depart(departure: InstanceDeparture): void;
  /** A message that names no instance to use. */
  reject(reason: string): void;
}

export abstract class MeshPlatform {
  abstract readonly headers: MeshHeaders;
  abstract readonly store: MeshStore;
  abstract decodeRecord(record: OperatorRecord): OperatorDocument;
  /** Takes the heartbeats of the instance; acknowledges a message once the sink has taken it. */
  abstract createInstanceHandler(sink: InstanceSink): HttpHandler;
  /** Answers the platform's question whether clients may be sent here. */
  abstract createReadinessHandler(isReady: () => boolean): HttpHandler;
}
