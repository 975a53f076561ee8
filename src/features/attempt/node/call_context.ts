/**
 * The dependencies and state shared by all calls of a proxy.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Clock } from "../../../base/common/clock.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostIdentity } from "../../../world/common/host.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";
import type { AdmissionController } from "../../admission/common/admission.ts";
import type { ClaimClient } from "../../claim/common/claim_client.ts";
import type { TrafficShift } from "../../move/common/traffic_shift.ts";
import type { InstanceRouter } from "../../routing/common/instance_router.ts";
import type { RoutingTable } from "../../table/common/routing_table.ts";
import type { RetryBudget } from "../common/retry_budget.ts";
import type { StaleCache } from "../common/stale_cache.ts";
import type { CallLimits } from "./call_limits.ts";
import type { ConnectionPool } from "./connection_pool.ts";

export interface ProxyOptions {
  /** The current table; undefined before the first configuration. */
  readonly table: () => RoutingTable | undefined;
  readonly admission: AdmissionController;
  readonly claims: ClaimClient;
  readonly router: InstanceRouter;
  readonly shift: TrafficShift;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly self: HostIdentity;
  /** {@linkcode DEFAULT_CALL_LIMITS} when absent. */
  readonly limits?: CallLimits;
  /**
   * The maximum number of connections of this daemon to an instance. The default is its slots,
   * at most {@linkcode DEFAULT_CONNECTION_LIMIT}.
   */
  readonly connectionLimit?: (instance: UpstreamInstance) => number;
}

/** Counters since the start of the proxy, for metrics. */
export interface ProxyCounts {
  calls: number;
  attempts: number;
  retries: number;
  refusals: number;
  staleResponses: number;
  /** Responses during which the caller's connection was destroyed. */
  truncatedResponses: number;
}

export interface CallContext extends ProxyOptions {
  readonly pool: ConnectionPool;
  readonly cache: StaleCache;
  readonly counts: ProxyCounts;
  readonly limits: CallLimits;
  readonly callsInFlight: () => number;
  /** False in the last phase of a drain, in which new calls are refused as not run. */
  readonly acceptsCalls: () => boolean;
  /** Whether to close the connection after this response; called once, when it is written. */
  readonly shouldCloseConnection: (response: ServerResponse) => boolean;
  readonly budgetOf: (customer: CustomerName) => RetryBudget;
}

/**
 * Current instances accept about 110 connections. The 14 daemons on the hosts of the larger
 * customer's 14 instances stay within that with 7 connections each.
 */
export const DEFAULT_CONNECTION_LIMIT = 7;

export function connectionLimitOf(
  context: CallContext,
  instance: UpstreamInstance,
): number {
  return context.connectionLimit?.(instance) ??
    Math.max(1, Math.min(instance.slots, DEFAULT_CONNECTION_LIMIT));
}
