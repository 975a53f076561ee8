/**
 * The `evidence` and `verdict` messages between daemons, with their validation.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  ChangeIdentity,
  FailureDomainName,
} from "../../../world/common/names.ts";
import { type EvidenceRow, ROW_FIELDS, type RowKey } from "./evidence.ts";
import type { Verdict } from "./move_state.ts";

/** The progress of a move at the sender and rows that the receiver lacks. */
export interface MoveReport {
  readonly move: ChangeIdentity;
  readonly step: number;
  readonly enteredAt: Milliseconds;
  /** String table to which the rows refer by index. */
  readonly names: readonly string[];
  /**
   * Each row: side (0 stable, 1 candidate), the indices of route, host, observer and observer's
   * failure domain, then alternating field numbers and counters for the nonzero counters.
   */
  readonly rows: readonly (readonly number[])[];
}

export interface EvidenceMessage {
  readonly kind: "evidence";
  /** The time since each failure domain was last heard from. */
  readonly domainAges: Readonly<Record<FailureDomainName, Milliseconds>>;
  readonly reports: readonly MoveReport[];
}

export interface VerdictMessage {
  readonly kind: "verdict";
  readonly verdicts: readonly Verdict[];
  /** Acknowledgements are not acknowledged. */
  readonly isAcknowledgement: boolean;
}

export interface ReceivedRow {
  readonly key: RowKey;
  readonly counters: ReadonlyMap<number, number>;
}

const ROW_HEADER_LENGTH = 5;
/** Limits on strings and lists, so that a faulty peer cannot exhaust memory. */
const MAXIMUM_TEXT_LENGTH = 500;
const MAXIMUM_LIST_LENGTH = 1_000;

/** Encodes rows in the compact form of a report. */
export function encodeRows(
  rows: readonly EvidenceRow[],
): Pick<MoveReport, "names" | "rows"> {
  const names: string[] = [];
  const indexOf = (name: string) => {
    const index = names.indexOf(name);
    return index >= 0 ? index : names.push(name) - 1;
  };
  const encoded = rows.map((row) => {
    const items = [
      row.side === "stable" ? 0 : 1,
      indexOf(row.route),
      indexOf(row.host),
      indexOf(row.observer),
      indexOf(row.observerDomain),
    ];
    row.counters.forEach((value, field) => {
      if (value > 0) {
        items.push(field, value);
      }
    });
    return items;
  });
  return { names, rows: encoded };
}

/** Decodes the rows of a report; malformed rows are skipped. */
export function decodeRows(report: MoveReport): ReceivedRow[] {
  return report.rows.flatMap((items) => {
    const [side, ...references] = items.slice(0, ROW_HEADER_LENGTH);
    const texts = references.map((index) => report.names[index]);
    const pairs = items.slice(ROW_HEADER_LENGTH);
    if (
      texts.length !== ROW_HEADER_LENGTH - 1 || texts.some((text) =>
        !isText(text)
      ) ||
      pairs.length % 2 !== 0 || !items.every(isCount)
    ) {
      return [];
    }
    const counters = new Map<number, number>();
    for (let index = 0; index < pairs.length; index += 2) {
      if (pairs[index] < ROW_FIELDS) {
        counters.set(pairs[index], pairs[index + 1]);
      }
    }
    const [route, host, observer, observerDomain] = texts;
    const key: RowKey = {
      side: side === 0 ? "stable" : "candidate",
      route,
      host,
      observer,
      observerDomain,
    };
    return [{ key, counters }];
  });
}

/** Validates an `evidence` message; undefined if it is malformed. */
export function parseEvidence(message: unknown): EvidenceMessage | undefined {
  const { domainAges, reports } = message as Partial<EvidenceMessage>;
  const isValid = isObject(domainAges) &&
    Object.values(domainAges).every((age) => Number.isFinite(age)) &&
    isList(reports) && reports.every(isReport);
  return isValid ? message as EvidenceMessage : undefined;
}

/** Validates a `verdict` message; undefined if it is malformed. */
export function parseVerdicts(message: unknown): VerdictMessage | undefined {
  const { verdicts, isAcknowledgement } = message as Partial<VerdictMessage>;
  const isValid = isList(verdicts) && verdicts.every(isVerdict) &&
    typeof isAcknowledgement === "boolean";
  return isValid ? message as VerdictMessage : undefined;
}

function isReport(value: unknown): boolean {
  const { move, step, enteredAt, names, rows } = value as Partial<MoveReport>;
  return isText(move) && isCount(step) && Number.isFinite(enteredAt) &&
    isList(names) && isList(rows) && rows.every((row) => Array.isArray(row));
}

function isVerdict(value: unknown): boolean {
  const { move, outcome, reason, author } = value as Partial<Verdict>;
  return isText(move) && isText(reason) && isText(author) &&
    (outcome === "good" || outcome === "bad");
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isList(value: unknown): value is readonly unknown[] {
  return Array.isArray(value) && value.length <= MAXIMUM_LIST_LENGTH &&
    value.every((item) => item !== null && item !== undefined);
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAXIMUM_TEXT_LENGTH;
}

/** Whether a value is an unsigned 32-bit integer. */
function isCount(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0 &&
    (value as number) < 2 ** 32;
}
