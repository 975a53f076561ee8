/**
 * Interface for the selection of an upstream instance for an attempt.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RouteName, ServiceName } from "../../../world/common/names.ts";
import type { UpstreamInstance } from "../../../world/common/upstream_instance.ts";

export interface InstanceRequest {
  readonly service: ServiceName;
  readonly route: RouteName;
  /** Identifies the call; all its attempts are routed to the same side of a version split. */
  readonly callIdentity: string;
  /** Instances that earlier attempts of the call used. */
  readonly exclude: ReadonlySet<string>;
}

export type AttemptResult =
  | "success"
  | "failure"
  | "shed"
  | "not-connected"
  | "cancelled";

/** A selected instance with one slot of its allowed concurrency, held until `finish`. */
export interface Assignment {
  readonly instance: UpstreamInstance;
  finish(result: AttemptResult, duration: Milliseconds): void;
}

export type RoutingRefusal = "no-instance" | "all-busy";

export interface InstanceRouter extends Disposable {
  assign(request: InstanceRequest): Assignment | RoutingRefusal;
}
