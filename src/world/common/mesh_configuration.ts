/**
 * The complete configuration of a mesh: routes by virtual host and path prefix, services, and limits on the requests
 * of callers.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { ClientAccount } from "./client_account.ts";
import type {
  AccountName,
  FailureDomainName,
  RouteName,
  ServiceName,
  ServiceVersion,
} from "./names.ts";

/** Whether a call may be retried: a `safe` call may run again, an `unsafe` call or an `upload` must not. */
export type RouteKind = "safe" | "unsafe" | "upload";

export interface WeightedService {
  readonly service: ServiceName;
  /** The share of the route's calls, relative to the other weights of the route. */
  readonly weight: number;
}

export interface MeshRoute {
  readonly name: RouteName;
  /** The value of the `Host` header, in lower case and without a port. */
  readonly virtualHost: string;
  /** The path prefix, which begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** The priority of the route's calls; 0 is the most urgent. */
  readonly rank: number;
  /** The latency objective: a response within this time has the highest worth for the caller. */
  readonly objectiveMilliseconds: Milliseconds;
  /** The longest time that a caller waits for a response. */
  readonly timeoutMilliseconds: Milliseconds;
  /** The maximum number of instances to which one call may be sent. */
  readonly maximumInstances: number;
  /** At least one entry with a weight above 0. */
  readonly targets: readonly WeightedService[];
  /** Whether clients may call the route without the key of an account. */
  readonly isPublic?: boolean;
}

/** What an instance of a service takes while it is cold. */
export interface ColdStartLimit {
  /** How long an instance is cold after its start. */
  readonly durationMilliseconds: Milliseconds;
  /** The requests that a cold instance tolerates; it fails at a rate well above. */
  readonly requestsPerSecond: number;
}

export interface MeshService {
  readonly name: ServiceName;
  readonly maximumConnections: number;
  /** Undefined if a cold instance is only slower. */
  readonly coldStart?: ColdStartLimit;
}

export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: Milliseconds;
  readonly idleTimeoutMilliseconds: Milliseconds;
}

export interface MeshConfiguration {
  /** Increases with each change, by varying amounts. The operator chooses it, so it has no upper bound. */
  readonly version: bigint;
  readonly routes: readonly MeshRoute[];
  readonly services: ReadonlyMap<ServiceName, MeshService>;
  readonly limits: CallerLimits;
  /** Undefined if callers need no key. */
  readonly accounts?: ReadonlyMap<AccountName, ClientAccount>;
}

/** An operator's order to send no calls to the instances of a failure domain, or its end. */
export interface EvacuationOrder {
  readonly failureDomain: FailureDomainName;
  readonly isActive: boolean;
}

/** An operator's order to move the traffic of a service to another version. */
export interface RolloutOrder {
  readonly service: ServiceName;
  readonly targetVersion: ServiceVersion;
  /** The time between the order and its deadline. */
  readonly durationMilliseconds: Milliseconds;
}

export type RolloutState = "running" | "complete" | "reverted";
