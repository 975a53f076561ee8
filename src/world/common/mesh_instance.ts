/**
 * An application instance on the host of a daemon, as described by its heartbeats.
 *
 * @module
 */

import type { Milliseconds } from "../../base/common/milliseconds.ts";
import type {
  FailureDomainName,
  ServiceName,
  ServiceVersion,
} from "./names.ts";

export type MeshInstanceState = "ready" | "draining" | "gone";

/** A heartbeat or leave message of an instance. */
export interface InstanceReport {
  readonly identity: string;
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  readonly address: string;
  readonly failureDomain: FailureDomainName;
  /** The number of calls that the instance handles concurrently. */
  readonly slots: number;
  readonly state: MeshInstanceState;
  /** The remaining time in which the instance is slow because of its recent start. */
  readonly coldForMilliseconds: Milliseconds;
  /** Increases with each report until the instance restarts. */
  readonly sequence: number;
  /** When the instance started; distinguishes restarts. */
  readonly startedAt: Milliseconds;
}

/** Reports that an instance has ended, without its description. */
export interface InstanceDeparture {
  readonly identity: string;
  /** Undefined if the instance does not say when it started. */
  readonly startedAt: Milliseconds | undefined;
  /** When the message arrived, in milliseconds since the Unix epoch, like the start times. */
  readonly receivedAt: Milliseconds;
}

/** An instance that has announced its departure; it never becomes ready again. */
export interface DepartedInstance {
  readonly identity: string;
  /** The departure concerns starts at this time and before, in milliseconds since the Unix epoch. */
  readonly startedAt: Milliseconds;
}

export function isSameDeparture(
  left: DepartedInstance,
  right: DepartedInstance,
): boolean {
  return left.identity === right.identity && left.startedAt === right.startedAt;
}

/** A change of the stored departures of a host; repeating it has no further effect. */
export interface DepartureUpdate {
  readonly added: readonly DepartedInstance[];
  /** Older departures that are no longer needed. */
  readonly removed: readonly DepartedInstance[];
}
