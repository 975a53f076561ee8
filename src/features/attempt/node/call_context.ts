/**
 * What every call of a proxy shares.
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
  /** The table in force; undefined before the first configuration. */
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
   * The most connections of this daemon to an instance. The default is the instance's slots,
   * at most {@linkcode DEFAULT_CONNECTION_LIMIT}.
   */
  readonly connectionLimit?: (instance: UpstreamInstance) => number;
}

/** Counts since the start, for the metrics. */
export interface ProxyCounts {
  calls: number;
  attempts: number;
  retries: number;
  refusals: number;
  staleAnswers: number;
  /** Calls whose caller's connection was destroyed in the middle of an answer. */
  cutAnswers: number;
}

export interface CallContext extends ProxyOptions {
  readonly pool: ConnectionPool;
  readonly cache: StaleCache;
  readonly counts: ProxyCounts;
  readonly limits: CallLimits;
  readonly callsInFlight: () => number;
  /** False at the end of a drain, when new calls are refused as not run. */
  readonly takesCalls: () => boolean;
  /** Whether the connection ends behind this answer; asked once, when it is written. */
  readonly endsConnection: (response: ServerResponse) => boolean;
  readonly budgetOf: (customer: CustomerName) => RetryBudget;
}

/**
 * An instance of today accepts about 110 connections. With 14 daemons beside the 14 instances
 * of the larger customer, 7 each stay within that.
 */
export const DEFAULT_CONNECTION_LIMIT = 7;

export function connectionLimitOf(
  context: CallContext,
  instance: UpstreamInstance,
): number {
  return context.connectionLimit?.(instance) ??
    Math.max(1, Math.min(instance.slots, DEFAULT_CONNECTION_LIMIT));
}
