/**
 * Messages between the daemons that admit calls of accounts and the granters of these accounts. Rows without
 * field names keep them small, since they pass several times a second.
 *
 * @module
 */

import type { AccountName } from "../../../world/common/names.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";

export const ACCOUNT_REPORT_KIND = "account-report";
export const ACCOUNT_GRANT_KIND = "account-grant";
export const ACCOUNT_NOTICE_KIND = "account-notice";

/**
 * Account, calls asked for per second, calls admitted; after another granter also the held rate, 1 if limited, and
 * the debt of the account.
 */
export type ReportRow =
  | readonly [AccountName, number, number]
  | readonly [AccountName, number, number, number, number, number];

/** Account, calls per second, whether the account is limited, and then its debt. */
export type GrantRow =
  | readonly [AccountName, number, GrantCode]
  | readonly [AccountName, number, typeof LIMITED, number];

export type GrantCode =
  | typeof FREE
  | typeof LIMITED
  | typeof NOT_GRANTER
  | typeof NOT_READY;
export const FREE = 0;
export const LIMITED = 1;
/** The sender takes another daemon for the granter of the account. */
export const NOT_GRANTER = 2;
/** The sender has just started and does not know all hosts, or no limits, yet. */
export const NOT_READY = 3;

/** Account, and the part of its calls to admit on hosts without a rate; 1 if the account is free. */
export type NoticeRow = readonly [AccountName, number];

export interface AccountReportMessage extends LinkMessage {
  readonly kind: typeof ACCOUNT_REPORT_KIND;
  readonly sequence: number;
  readonly rows: readonly ReportRow[];
}

/** Responds to a report. */
export interface AccountGrantMessage extends LinkMessage {
  readonly kind: typeof ACCOUNT_GRANT_KIND;
  readonly sequence: number;
  readonly rows: readonly GrantRow[];
}

/** Tells all daemons, also those without demand, that accounts are limited or no longer limited. */
export interface AccountNoticeMessage extends LinkMessage {
  readonly kind: typeof ACCOUNT_NOTICE_KIND;
  readonly rows: readonly NoticeRow[];
}

/** Decimal places of rates in messages. */
const RATE_DIGITS = 1_000;

export function roundRate(rate: number): number {
  return Math.round(rate * RATE_DIGITS) / RATE_DIGITS;
}

export function isAccountReport(
  message: LinkMessage,
): message is AccountReportMessage {
  const { sequence, rows } = message as Partial<AccountReportMessage>;
  return Number.isSafeInteger(sequence) &&
    areRows(
      rows,
      (row) =>
        (row.length === 3 || row.length === 6) && Number(row[1]) >= 0 &&
        (row.length === 3 || (Number(row[3]) >= 0 && Number(row[5]) >= 0)),
    );
}

export function isAccountGrant(
  message: LinkMessage,
): message is AccountGrantMessage {
  const { sequence, rows } = message as Partial<AccountGrantMessage>;
  return Number.isSafeInteger(sequence) &&
    areRows(
      rows,
      (row) =>
        (row.length === 3 || (row.length === 4 && Number(row[3]) >= 0)) &&
        Number(row[1]) >= 0 &&
        [FREE, LIMITED, NOT_GRANTER, NOT_READY].some((code) => code === row[2]),
    );
}

export function isAccountNotice(
  message: LinkMessage,
): message is AccountNoticeMessage {
  return areRows(
    (message as Partial<AccountNoticeMessage>).rows,
    (row) => row.length === 2 && Number(row[1]) >= 0 && Number(row[1]) <= 1,
  );
}

function areRows(
  rows: unknown,
  isRow: (row: readonly unknown[]) => boolean,
): boolean {
  return Array.isArray(rows) &&
    rows.every((row) =>
      Array.isArray(row) && typeof row[0] === "string" &&
      row.slice(1).every(Number.isFinite) && isRow(row)
    );
}
