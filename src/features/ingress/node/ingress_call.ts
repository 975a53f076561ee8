/**
 * The state of a call at the ingress.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { HostName, ServiceName } from "../../../world/common/names.ts";
import type { CallHandle, ParentCall } from "../../gate/common/gate.ts";
import type { VersionChoice } from "../../rollout/common/rollout_registry.ts";

/** An offer of a call to one gate. */
export interface OpenOffer {
  readonly host: HostName;
  /** When the repeat was taken from the budget; undefined for an offer that needs none. */
  readonly repeatTakenAt: Milliseconds | undefined;
  ticket: CallHandle | undefined;
}

/** A call of a client, or of the instance on this host, from its head to its final answer. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly identity: string;
  readonly route: MeshRoute;
  readonly service: ServiceName;
  readonly versions: VersionChoice;
  readonly arrivedAt: Milliseconds;
  readonly finalAt: Milliseconds;
  readonly parent: ParentCall | undefined;
  /** A nested call is not more urgent than the call for which it is made. */
  readonly rank: number;
  readonly asked: Set<HostName>;
  body: Buffer;
  /** Offers without an outcome yet. */
  readonly open: Set<OpenOffer>;
  /** When repeats were taken from the budget that no instance has received yet. */
  readonly unusedRepeats: Milliseconds[];
  secondSend: Disposable | undefined;
  instancesReached: number;
  fullGates: number;
  mayHaveRun: boolean;
  isEnded: boolean;
  release: () => void;
}
