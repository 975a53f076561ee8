/**
 * Decides what a granter allows the daemons that report demand for an account.
 *
 * Load pattern: the clients of an account may all be on one host, be spread over all of them, or move, and the
 * account may ask several times its usual within a second. Daemons admit freely while the account is far below
 * its limit. Each has a rate in proportion to its demand, which it keeps to once the account is limited or the
 * granter is silent; so the rates sum to the limit, however the clients are spread, also when the daemons and
 * their granter lose each other.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  type AccountLedger,
  computeReachablePart,
  computeReachableRate,
  computeTolerance,
  type GrantingHosts,
  sumDemand,
} from "./account_ledger.ts";
import { computeFallbackRate } from "./fallback_share.ts";

/** Debt is repaid, and unused calls are granted, at this pace; within the 5 s in which limits are measured. */
const CORRECTION_MS: Milliseconds = 2_000;
/** Debt down to this part of the tolerance is not repaid; a small account would be refused for seconds. */
const KEPT_DEBT_PART = 0.5;

export interface AccountGrant {
  readonly requestsPerSecond: number;
  readonly isLimited: boolean;
  /** The calls admitted beyond the limit; reported to the next granter. */
  readonly debt: number;
}

/** Returns the part of the calls that may be admitted, for daemons without a rate of their own. */
export function computeAdmittedPart(
  ledger: AccountLedger,
  limit: AccountLimit,
  hosts: GrantingHosts,
): number {
  const demand = sumDemand(ledger.reporters);
  return demand === 0
    ? 1
    : Math.min(1, computeTotalRate(ledger, limit, hosts) / demand);
}

function computeTotalRate(
  ledger: AccountLedger,
  limit: AccountLimit,
  hosts: GrantingHosts,
): number {
  const keptDebt = computeTolerance(limit) * KEPT_DEBT_PART *
    computeReachablePart(hosts);
  const surplus = ledger.bucket.level + keptDebt;
  const correction = ledger.limitedAt === undefined
    ? 0
    : surplus * SECOND_MS / CORRECTION_MS;
  return Math.max(0, computeReachableRate(ledger, limit, hosts) + correction);
}

/** Returns what a daemon may admit. Its response reaches it before its next report. */
export function computeGrant(
  ledger: AccountLedger,
  host: HostName,
  limit: AccountLimit,
  hosts: GrantingHosts,
  now: Milliseconds,
): AccountGrant {
  const { reporters, limitedAt, settlesAt } = ledger;
  const isLimited = limitedAt !== undefined;
  const rate = computeTotalRate(ledger, limit, hosts);
  const debt = isLimited ? Math.max(0, -ledger.bucket.level) : 0;
  const reporter = reporters.get(host);
  const demand = sumDemand(reporters);
  const proportional = reporter === undefined || demand === 0
    ? 0
    : rate * reporter.demand / demand;
  if (now >= settlesAt) {
    return { requestsPerSecond: proportional, isLimited, debt };
  }
  const share = computeFallbackRate(limit, Math.max(1, hosts.known));
  return {
    requestsPerSecond: Math.min(
      proportional,
      Math.max(share, reporter?.heldRate ?? 0),
    ),
    isLimited,
    debt,
  };
}
