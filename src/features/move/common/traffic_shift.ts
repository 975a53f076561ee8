/**
 * The interface through which routing and the call path use traffic shifts between versions.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  HostName,
  RouteName,
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";

/** How the calls of a service are divided between versions at this moment. */
export interface VersionSplit {
  readonly stableVersion: ServiceVersion;
  /** Undefined when no move is open or its new version was found to be bad. */
  readonly candidateVersion: ServiceVersion | undefined;
  /** The fraction of calls for the candidate, 0 to 1. */
  readonly candidateShare: number;
  /** The number of candidate instances that receive the share; Infinity for all. */
  readonly candidateInstances: number;
}

/** The result of one attempt at an upstream, as this daemon saw it. */
export interface AttemptSample {
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  readonly route: RouteName;
  readonly host: HostName;
  /** `shed`: rejected by load shedding, which is not a failure of the version. */
  readonly result: "success" | "failure" | "shed" | "cancelled";
  readonly durationMilliseconds: Milliseconds;
  /** Calls in flight at the instance divided by its slots, at the start of the attempt. */
  readonly load: number;
}

export interface TrafficShift extends Disposable {
  splitOf(service: ServiceName): VersionSplit | undefined;
  record(sample: AttemptSample): void;
}
