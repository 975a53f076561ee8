/**
 * The mesh's data in the platform's store, independent of the platform's data format.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Result } from "../../../base/common/result.ts";
import type { StepError } from "../../../base/common/step_error.ts";
import type { RolloutState } from "../../../world/common/mesh_configuration.ts";
import type {
  HostName,
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";
import type {
  DepartedInstance,
  DepartureUpdate,
} from "../../../world/common/mesh_instance.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import type { OperatorRecord } from "./operator_records.ts";

/** Records and the offset of the next record in the log. */
export interface RecordBatch {
  readonly records: readonly OperatorRecord[];
  readonly position: number;
}

/**
 * Where a position lies in the store. The era rises when the store comes back from an older copy of itself, and gives
 * out the offsets again that it had given out since. A position of a later era is always the greater one.
 */
export interface StoreLocation {
  readonly era: number;
  readonly offset: number;
}

/**
 * `expired`: the log no longer contains the position, or the era has risen; the newest records must be read instead.
 */
export type ReadOutcome = RecordBatch | "expired";

export interface RolloutStatus {
  readonly service: ServiceName;
  readonly targetVersion: ServiceVersion;
  readonly state: RolloutState;
}

/** What daemons have written about hosts. */
export interface HostRecords {
  /** The addresses at which daemons accept links, including daemons that have stopped. */
  readonly targets: readonly LinkTarget[];
  /** The instances that have departed from one of the hosts, the oldest departure first. */
  readonly departed: readonly DepartedInstance[];
}

export interface ReadOptions {
  /** How long the store may hold the request open while there are no new records (long poll). */
  readonly waitMilliseconds: Milliseconds;
  readonly signal?: AbortSignal;
}

/** Errors name the failed step; their outcome is `not-run` if the store reported that nothing was done. */
export abstract class MeshStore {
  abstract locate(position: number): StoreLocation;

  /** Whether a key never counts as removed, such as that of the configuration. */
  abstract isPermanent(key: string): boolean;

  /** Reads the newest record of each key that the operator has written. */
  abstract readNewestRecords(): Promise<Result<RecordBatch, StepError>>;

  /** Reads the operator's records from a position on. */
  abstract readRecords(
    position: number,
    options: ReadOptions,
  ): Promise<Result<ReadOutcome, StepError>>;

  /** Publishes the address at which this daemon accepts links. */
  abstract announceHost(target: LinkTarget): Promise<Result<void, StepError>>;

  /** Reads the addresses of all daemons, and the departures from `host`. */
  abstract readHosts(host: HostName): Promise<Result<HostRecords, StepError>>;

  /** Changes the stored departures from a host, in one step. */
  abstract updateDepartures(
    host: HostName,
    update: DepartureUpdate,
  ): Promise<Result<void, StepError>>;

  /** Writes the address and the departures of a host again, in one step, after the store may have lost them. */
  abstract rewriteHost(
    target: LinkTarget,
    departed: readonly DepartedInstance[],
  ): Promise<Result<void, StepError>>;

  abstract readRolloutStatuses(): Promise<
    Result<
      {
        readonly statuses: readonly RolloutStatus[];
        readonly position: number;
      },
      StepError
    >
  >;

  /**
   * Writes a status unless another record was written since `position`, in which case it returns
   * `conflict`. It does so as well if the era of `position` is over; the status may then have been written.
   */
  abstract writeRolloutStatus(
    status: RolloutStatus,
    position: number,
  ): Promise<Result<"written" | "conflict", StepError>>;
}
