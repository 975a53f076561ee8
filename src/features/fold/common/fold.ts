/**
 * Derives the configuration from the log as a pure function: every daemon folds the same entries in the
 * same order and reaches the same verdict on each record.
 *
 * @module
 */

import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type {
  LogEntry,
  LogRecord,
  VerdictRecord,
} from "../../../world/common/log_record.ts";
import type {
  ChangeIdentity,
  ConfigurationVersion,
} from "../../../world/common/names.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { applyChange } from "./change_check.ts";
import { applyEvacuation } from "./evacuation_check.ts";
import { applyMove, applyVerdict, type RecordMetadata } from "./move_check.ts";
import { decodeRecord, parseRecord } from "./record_check.ts";

/** Above this number, the oldest identities are removed. */
export const MAXIMUM_REMEMBERED_IDENTITIES = 10_000;

/** Whether a record was accepted. */
export interface RecordVerdict {
  readonly status: "accepted" | "refused" | "ignored";
  /** Empty if accepted; otherwise names the field and the reason. */
  readonly reason: string;
  readonly offset: ConfigurationVersion;
}

export interface FoldState {
  /** The offset of the next entry to fold. */
  readonly position: number;
  readonly configuration: Configuration;
  /** The verdicts on the newest records by identity, in the order of the records. */
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

type Decision = Configuration | {
  readonly status: "ignored" | "refused";
  readonly reason: string;
};

/** Folds one entry. The position advances even if the record is refused. */
export const foldEntry: FoldEntry = (state, entry) =>
  foldInto(state, entry, new Map(state.verdicts));

/** Folds contiguous entries and returns the last state with the verdicts in order. */
export function foldEntries(
  state: FoldState,
  entries: Iterable<LogEntry>,
): { readonly state: FoldState; readonly verdicts: readonly RecordVerdict[] } {
  // Copied once per batch: copying 10,000 verdicts per entry would dominate the time of a catch-up.
  const rememberedVerdicts = new Map(state.verdicts);
  const verdicts: RecordVerdict[] = [];
  let current = state;
  for (const entry of entries) {
    const step = foldInto(current, entry, rememberedVerdicts);
    current = step.state;
    verdicts.push(step.verdict);
  }
  return { state: current, verdicts };
}

function foldInto(
  state: FoldState,
  entry: LogEntry,
  verdicts: Map<ChangeIdentity, RecordVerdict>,
): FoldStep {
  const { offset } = entry;
  const decoded = decodeRecord(entry.record);
  const parsed: Result<LogRecord, string> = decoded.ok
    ? parseRecord(decoded.val)
    : decoded;
  const decision = parsed.ok
    ? evaluateRecord(state, parsed.val, entry)
    : refuse(parsed.val);
  const isAccepted = !("status" in decision);
  const verdict: RecordVerdict = isAccepted
    ? { status: "accepted", reason: "", offset }
    : { ...decision, offset };
  if (parsed.ok && "identity" in parsed.val) {
    addVerdict(verdicts, parsed.val.identity, verdict);
  }
  return {
    state: {
      position: offset + 1,
      configuration: isAccepted ? decision : state.configuration,
      verdicts,
    },
    verdict,
  };
}

function refuse(reason: string): Decision {
  return { status: "refused", reason };
}

function evaluateRecord(
  state: FoldState,
  record: LogRecord,
  metadata: RecordMetadata,
): Decision {
  if ("identity" in record) {
    const first = state.verdicts.get(record.identity);
    if (first !== undefined) {
      return {
        status: "ignored",
        reason:
          `identity: ${record.identity} was ${first.status} at ${first.offset}`,
      };
    }
  }
  return applyRecord(state.configuration, record, metadata);
}

function applyRecord(
  configuration: Configuration,
  record: LogRecord,
  metadata: RecordMetadata,
): Decision {
  if (record.kind === "verdict") {
    return applyVerdict(configuration, record, metadata);
  }
  const next = applyPublication(configuration, record, metadata);
  return typeof next === "string" ? refuse(next) : next;
}

function applyPublication(
  configuration: Configuration,
  record: Exclude<LogRecord, VerdictRecord>,
  metadata: RecordMetadata,
): Configuration | string {
  switch (record.kind) {
    case "change":
      return applyChange(configuration, record, metadata.offset);
    case "move":
      return applyMove(configuration, record, metadata);
    case "evacuation":
      return applyEvacuation(configuration, record, metadata);
  }
}

function addVerdict(
  verdicts: Map<ChangeIdentity, RecordVerdict>,
  identity: ChangeIdentity,
  verdict: RecordVerdict,
): void {
  if (verdicts.has(identity)) {
    return;
  }
  verdicts.set(identity, verdict);
  if (verdicts.size > MAXIMUM_REMEMBERED_IDENTITIES) {
    verdicts.delete(verdicts.keys().next().value!);
  }
}

/**
 * Validates a record before it is published: its schema, and whether it would be accepted as the next
 * record after the configuration. The error names the field and the reason.
 */
export function checkRecord(
  configuration: Configuration,
  value: unknown,
  now: Milliseconds,
): Result<LogRecord, string> {
  const parsed = parseRecord(value);
  if (parsed.err) {
    return parsed;
  }
  const decision = applyRecord(configuration, parsed.val, {
    offset: configuration.version + 1,
    appendedAt: now,
  });
  return "status" in decision ? Err(decision.reason) : Ok(parsed.val);
}
