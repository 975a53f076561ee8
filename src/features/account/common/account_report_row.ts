/**
 * What a daemon reports of an account.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";
import { type ReportRow, roundRate } from "./account_messages.ts";
import type { AccountShare } from "./account_share.ts";

/** Calls that another granter has let pass longer ago no longer count. */
const TAKEOVER_MS: Milliseconds = 5_000;

export interface UsedAccount {
  readonly share: AccountShare;
  /** The process to which the last report was sent. */
  granter: string | undefined;
  reportedTo: HostName | undefined;
  reportedAt: Milliseconds;
}

/** Creates the row of an account and notes to which granter it is reported. */
export function createReportRow(
  name: AccountName,
  account: UsedAccount,
  { granter, now }: {
    readonly granter: { readonly host: HostName; readonly process: string };
    readonly now: Milliseconds;
  },
): ReportRow {
  const { share } = account;
  const isTakeover = account.granter !== granter.process &&
    now - account.reportedAt < TAKEOVER_MS;
  account.granter = granter.process;
  account.reportedTo = granter.host;
  account.reportedAt = now;
  const demand = roundRate(share.demand(now));
  const admitted = share.takeUnreported(now, isTakeover);
  return isTakeover
    ? [
      name,
      demand,
      admitted,
      roundRate(share.heldRate(now)),
      Number(share.isLimited(now)),
      share.debt(now),
    ]
    : [name, demand, admitted];
}
