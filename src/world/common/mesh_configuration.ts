/**
 * The configuration of a mesh whose operator describes it whole: routes by host and prefix,
 * services, and the limits on what callers send.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type { RouteName, ServiceName, ServiceVersion } from "./names.ts";

/** What may be repeated: a `safe` call may run again, an `unsafe` call or an `upload` may not. */
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
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** The time within which an answer is worth most to its caller. */
  readonly objectiveMilliseconds: Milliseconds;
  /** The longest time that a caller is kept waiting. */
  readonly timeoutMilliseconds: Milliseconds;
  /** The number of instances to which one call may be sent. */
  readonly maximumInstances: number;
  /** At least one entry with a weight above 0. */
  readonly targets: readonly WeightedService[];
}

export interface MeshService {
  readonly name: ServiceName;
  readonly maximumConnections: number;
}

export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: Milliseconds;
  readonly idleTimeoutMilliseconds: Milliseconds;
}

export interface MeshConfiguration {
  /** Grows with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly MeshRoute[];
  readonly services: ReadonlyMap<ServiceName, MeshService>;
  readonly limits: CallerLimits;
}

/** An operator's order to move the traffic of a service to another version. */
export interface RolloutOrder {
  readonly service: ServiceName;
  readonly targetVersion: ServiceVersion;
  /** The time from the order to its deadline. */
  readonly durationMilliseconds: Milliseconds;
}

export type RolloutState = "running" | "complete" | "reverted";
