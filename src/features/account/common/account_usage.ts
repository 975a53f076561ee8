/**
 * Which accounts use their limits on this daemon, for metrics.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import type { AccountName } from "../../../world/common/names.ts";
import type { AccountShare } from "./account_share.ts";

/** Bounds the label sets of metrics. */
const LISTED_ACCOUNTS = 10;

export interface AccountUsage {
  /** Undefined for all accounts together that are not listed. */
  readonly account: AccountName | undefined;
  /** Calls since the account was first used here. */
  readonly asked: number;
  readonly admitted: number;
  readonly refused: number;
  /** Calls per second that all hosts together may admit. */
  readonly limit: number;
}

/** Lists the accounts with most demand, then all others together. */
export function listUsage(
  used: ReadonlyMap<AccountName, { readonly share: AccountShare }>,
  limits: ReadonlyMap<AccountName, AccountLimit>,
  now: Milliseconds,
): readonly AccountUsage[] {
  const sorted = [...used].map(([account, { share }]) => ({
    demand: share.demand(now),
    usage: {
      account,
      asked: share.asked,
      admitted: share.admitted,
      refused: share.refused,
      limit: limits.get(account)?.requestsPerSecond ?? 0,
    },
  })).sort((left, right) => right.demand - left.demand).map(({ usage }) =>
    usage
  );
  const others = sorted.slice(LISTED_ACCOUNTS);
  return others.length === 0 ? sorted : [
    ...sorted.slice(0, LISTED_ACCOUNTS),
    others.reduce((sum, usage) => ({
      account: undefined,
      asked: sum.asked + usage.asked,
      admitted: sum.admitted + usage.admitted,
      refused: sum.refused + usage.refused,
      limit: sum.limit + usage.limit,
    }), { account: undefined, asked: 0, admitted: 0, refused: 0, limit: 0 }),
  ];
}
