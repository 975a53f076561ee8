/**
 * What the mesh keeps in the platform's store, apart from how the platform spells it.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Result } from "../../../base/common/result.ts";
import type { StepError } from "../../../base/common/step_error.ts";
import type { RolloutState } from "../../../world/common/mesh_configuration.ts";
import type {
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import type { OperatorRecord } from "./operator_records.ts";

/** Records and the offset of the record that follows them in the log. */
export interface RecordBatch {
  readonly records: readonly OperatorRecord[];
  readonly position: number;
}

/** `expired`: the log no longer holds the position; the newest records must be read instead. */
export type ReadOutcome = RecordBatch | "expired";

export interface RolloutStatus {
  readonly service: ServiceName;
  readonly targetVersion: ServiceVersion;
  readonly state: RolloutState;
}

export interface ReadOptions {
  /** How long the store may hold the read back while there is nothing new. */
  readonly waitMilliseconds: Milliseconds;
  readonly signal?: AbortSignal;
}

/** All errors name their step; their outcome is `not-run` when the store said so. */
export abstract class MeshStore {
  /** The newest record of each key that the operator has written. */
  abstract readNewestRecords(): Promise<Result<RecordBatch, StepError>>;

  /** The operator's records from a position on. */
  abstract readRecords(
    position: number,
    options: ReadOptions,
  ): Promise<Result<ReadOutcome, StepError>>;

  /** Publishes where this daemon accepts links. */
  abstract announceHost(target: LinkTarget): Promise<Result<void, StepError>>;

  /** Where daemons accept links, including daemons that have ended. */
  abstract listHosts(): Promise<Result<readonly LinkTarget[], StepError>>;

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
   * Writes a status unless another record was written since `position`. `conflict` means that
   * one was.
   */
  abstract writeRolloutStatus(
    status: RolloutStatus,
    position: number,
  ): Promise<Result<"written" | "conflict", StepError>>;
}
