/**
 * The state of a call at the ingress.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type {
  AccountName,
  HostName,
  ServiceName,
} from "../../../world/common/names.ts";
import type { AccountPermit } from "../../account/common/account_limits.ts";
import type { CallHandle, ParentCall } from "../../gate/common/gate.ts";
import type { RetryClass } from "../common/shared_retry_budget.ts";
import type { VersionPreference } from "../../rollout/common/rollout_registry.ts";

/** An offer of a call to one gate that has no outcome yet. */
export interface PendingOffer {
  readonly host: HostName;
  /** When its retry was taken from the budget; undefined for an offer that needs none. */
  readonly retryTakenAt: Milliseconds | undefined;
  ticket: CallHandle | undefined;
}

/** A call of a client or of the instance on this host, from its request head to its final response. */
export interface IngressCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly identity: string;
  readonly route: MeshRoute;
  readonly service: ServiceName;
  readonly versionPreference: VersionPreference;
  readonly arrivedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly parent: ParentCall | undefined;
  /** The account of the caller, or of the parent of a nested call; undefined without accounts. */
  readonly account: AccountName | undefined;
  /** Counts against the limit of the account; undefined if the call does not. */
  readonly permit: AccountPermit | undefined;
  /** Priority rank, 0 is the most urgent; a nested call is never more urgent than its parent. */
  readonly rank: number;
  readonly offeredHosts: Set<HostName>;
  body: Buffer;
  readonly pendingOffers: Set<PendingOffer>;
  /** When retries were taken from the budget that have not reached an instance. */
  readonly unusedRetries: Milliseconds[];
  hedgeTimer: Disposable | undefined;
  instancesReached: number;
  fullGateCount: number;
  mayHaveRun: boolean;
  isEnded: boolean;
  release: () => void;
}

export function retryClassOf(
  { rank, parent }: Pick<IngressCall, "rank" | "parent">,
): RetryClass {
  return { rank, isNested: parent !== undefined };
}
