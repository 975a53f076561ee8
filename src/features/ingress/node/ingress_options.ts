/**
 * The interface of the ingress, its dependencies and its events.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../../../base/common/clock.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { StopPhase } from "../../../base/common/stop_phase.ts";
import type {
  CallerLimits,
  RouteKind,
} from "../../../world/common/mesh_configuration.ts";
import type {
  AccountName,
  HostName,
  ServiceName,
} from "../../../world/common/names.ts";
import type { ParentCall } from "../../gate/common/gate.ts";
import type { AccountDirectory } from "../../account/common/account_directory.ts";
import type { AccountAdmission } from "../../account/common/account_limits.ts";
import type { GateClient } from "../../gate/common/gate_client.ts";
import type { MeshHeaders } from "../../gate/common/mesh_headers.ts";
import type { HostDelays } from "../../placement/common/host_delays.ts";
import type { VersionedCandidate } from "../../placement/common/candidates.ts";
import type { HostRoutes } from "../../table/common/host_routes.ts";
import type { VersionPreference } from "../../rollout/common/rollout_registry.ts";

export interface IngressOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly headers: MeshHeaders;
  readonly host: HostName;
  readonly failureDomain: string;
  readonly gates: GateClient;
  /** Unique among all past and present daemon processes. */
  readonly processIdentity: string;
  /** The service of the instance on this host. */
  readonly callerService: () => ServiceName;
  /** Undefined until a configuration is known to be the latest. */
  readonly routes: () => HostRoutes | undefined;
  /** Undefined if callers need no key. */
  readonly accounts: () => AccountDirectory | undefined;
  /** Admits a call that is not nested within the limit of its account. */
  readonly admitCall: (account: AccountName) => AccountAdmission;
  /** Time since the start of the daemon. */
  readonly uptime: () => Milliseconds;
  readonly limits: () => CallerLimits | undefined;
  readonly candidates: (service: ServiceName) => readonly VersionedCandidate[];
  readonly hostDelays: Pick<HostDelays, "record">;
  /** The running call for which the instance on this host makes a nested call, if it made the request. */
  readonly findParent: (
    requestIdentity: string,
  ) => ParentCall | undefined;
  /** Whether a request without a key may be nested in one of several calls, or in a call that has ended. */
  readonly hasUnclearParent: (requestIdentity: string) => boolean;
  /** How long a request that is read now may have waited for the event loop of this process. */
  readonly loopDelay: () => Milliseconds;
  readonly stopPhase: () => StopPhase;
  /** Time until the remaining calls are terminated during a stop; infinite without a stop. */
  readonly timeUntilStopped: () => Milliseconds;
  readonly chooseVersion: (
    service: ServiceName,
    callIdentity: string,
  ) => VersionPreference;
}

/** A call that got its final response or whose client disconnected. */
export interface EndedCall {
  readonly kind: RouteKind;
  readonly result: CallResult;
  readonly duration: Milliseconds;
}

export type CallResult =
  | "answered"
  | "failed"
  | "refused"
  | "expired"
  | "abandoned";

export interface Ingress {
  readonly activeCalls: number;
  readonly onCallEnded: Event<EndedCall>;
  /** Terminates the calls still in flight at the end of a stop with a local reply. */
  terminateCalls(): void;
  handle(request: IncomingMessage, response: ServerResponse): void;
}
