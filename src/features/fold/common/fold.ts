/**
 * Acceptance of configuration as a pure function of the log: every daemon folds the same
 * entries in the same order and reaches the same verdict on each record.
 *
 * @module
 */

import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { LogEntry } from "../../../world/common/log_record.ts";
import type {
  ChangeIdentity,
  ConfigurationVersion,
} from "../../../world/common/names.ts";

/** What became of a record. */
export interface RecordVerdict {
  readonly status: "accepted" | "refused" | "ignored";
  /** Empty when accepted; otherwise names the place and the reason. */
  readonly reason: string;
  readonly offset: ConfigurationVersion;
}

export interface FoldState {
  /** The offset of the next entry to fold. */
  readonly position: number;
  readonly configuration: Configuration;
  /** The verdicts on the newest records by identity, the oldest first. */
  readonly verdicts: ReadonlyMap<ChangeIdentity, RecordVerdict>;
}

export const INITIAL_FOLD_STATE: FoldState = {
  position: 0,
  configuration: EMPTY_CONFIGURATION,
  verdicts: new Map(),
};

export interface FoldStep {
  readonly state: FoldState;
  readonly verdict: RecordVerdict;
}

export type FoldEntry = (state: FoldState, entry: LogEntry) => FoldStep;
