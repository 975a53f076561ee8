/**
 * The interface between a mesh daemon and the platform it runs on. An adapter implements it with
 * the names, formats and requests of that platform and makes no decisions.
 *
 * @module
 */

import type { HttpHandler } from "../../base/node/http_server.ts";
import type {
  EvacuationOrder,
  MeshConfiguration,
  RolloutOrder,
} from "../../world/common/mesh_configuration.ts";
import type {
  InstanceDeparture,
  InstanceReport,
} from "../../world/common/mesh_instance.ts";
import type { InstanceNotices } from "../../features/gate/common/instance_notices.ts";
import type { MeshHeaders } from "../../features/gate/common/mesh_headers.ts";
import type { MeshStore } from "../../features/operator/common/mesh_store.ts";
import type { OperatorRecord } from "../../features/operator/common/operator_records.ts";

/** A decoded record of the operator. */
export type OperatorDocument =
  | {
    readonly type: "configuration";
    readonly configuration: MeshConfiguration;
  }
  | { readonly type: "rollout"; readonly order: RolloutOrder }
  | { readonly type: "evacuation"; readonly order: EvacuationOrder }
  | { readonly type: "unknown" }
  | { readonly type: "invalid"; readonly reason: string };

/** Receives the messages of the instance on this host. Resolves with whether a message may be acknowledged. */
export interface InstanceSink {
  applyReport(report: InstanceReport): Promise<boolean>;
  applyDeparture(departure: InstanceDeparture): Promise<boolean>;
  /** Called for a message without a valid instance. */
  rejectMessage(reason: string): void;
}

export abstract class MeshPlatform {
  abstract readonly headers: MeshHeaders;
  abstract readonly store: MeshStore;
  abstract decodeRecord(record: OperatorRecord): OperatorDocument;
  /** Decodes what an instance says of itself in the headers of a response. */
  abstract readNotices(rawHeaders: readonly string[]): InstanceNotices;
  /** Handles the heartbeats of the instance; acknowledges a message once the sink has confirmed it. */
  abstract createInstanceHandler(sink: InstanceSink): HttpHandler;
  /** Handles the platform's checks whether clients may be sent to this host. */
  abstract createReadinessHandler(isReady: () => boolean): HttpHandler;
}
