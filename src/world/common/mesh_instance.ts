/**
 * An application instance beside a daemon, as its heartbeats describe it.
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

/** One heartbeat or leave message of an instance. */
export interface InstanceReport {
  readonly identity: string;
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  readonly address: string;
  readonly failureDomain: FailureDomainName;
  /** The number of calls that the instance works on at once. */
  readonly slots: number;
  readonly state: MeshInstanceState;
  /** How much longer the instance is slow after its start. */
  readonly coldForMilliseconds: Milliseconds;
  /** Grows with each report of one start of the instance. */
  readonly sequence: number;
  /** When the instance started, in milliseconds since the Unix epoch; tells restarts apart. */
  readonly startedAt: Milliseconds;
}

/** The end of an instance; carries no description. */
export interface InstanceDeparture {
  readonly identity: string;
  readonly startedAt: Milliseconds | undefined;
}
