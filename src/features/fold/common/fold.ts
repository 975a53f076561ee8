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
import type { LogEntry, LogRecord } from "../../../world/common/log_record.ts";
import type {
  ChangeIdentity,
  ConfigurationVersion,
} from "../../../world/common/names.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { applyChange } from "./change_check.ts";
import { applyMove, applyVerdict, type RecordPlace } from "./move_check.ts";
import { decodeRecord, parseRecord } from "./record_check.ts";

/** Identities beyond this number are forgotten, the oldest first. */
export const MAXIMUM_REMEMBERED_IDENTITIES = 10_000;

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

type Decision = Configuration | {
  readonly status: "ignored" | "refused";
  readonly reason: string;
};

/** Folds one entry. The position moves past the entry whatever its record contains. */
export const foldEntry: FoldEntry = (state, entry) =>
  foldInto(state, entry, new Map(state.verdicts));

/** Folds contiguous entries and returns the last state with the verdicts in order. */
export function foldEntries(
  state: FoldState,
  entries: Iterable<LogEntry>,
): { readonly state: FoldState; readonly verdicts: readonly RecordVerdict[] } {
  // One copy for the batch: a copy of 10,000 verdicts per entry would dominate a catch-up.
  const remembered = new Map(state.verdicts);
  const verdicts: RecordVerdict[] = [];
  let current = state;
  for (const entry of entries) {
    const step = foldInto(current, entry, remembered);
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
    ? decide(state, parsed.val, entry)
    : refuse(parsed.val);
  const isAccepted = !("status" in decision);
  const verdict: RecordVerdict = isAccepted
    ? { status: "accepted", reason: "", offset }
    : { ...decision, offset };
  if (parsed.ok && "identity" in parsed.val) {
    remember(verdicts, parsed.val.identity, verdict);
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

function decide(
  state: FoldState,
  record: LogRecord,
  place: RecordPlace,
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
  return applyRecord(state.configuration, record, place);
}

function applyRecord(
  configuration: Configuration,
  record: LogRecord,
  place: RecordPlace,
): Decision {
  if (record.kind === "verdict") {
    return applyVerdict(configuration, record, place);
  }
  const next = record.kind === "change"
    ? applyChange(configuration, record, place.offset)
    : applyMove(configuration, record, place);
  return typeof next === "string" ? refuse(next) : next;
}

function remember(
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
 * Checks a record before it is published: its form, and whether it would be accepted as the
 * next record after the configuration. The error names the place and the reason.
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
