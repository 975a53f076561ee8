/**
 * Decides how soon the calls of an account are reported to its granter.
 *
 * Load pattern: most accounts are small or far below their limits, and each has a call on a host now and then. A
 * message for each such call costs more than the call is worth to the granter, unless the account suddenly asks for
 * several times its usual. So reports wait for as long as the calls that such a jump lets pass unseen stay within
 * the burst and the allowed excess; more calls than expected on one host are reported early.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import { computeAllowedExcess } from "./fallback_share.ts";

export const REPORT_MS: Milliseconds = 200;
export const EARLY_REPORT_MS: Milliseconds = 50;
/** With 1 s, 6 % fewer messages pass far below the limits, but a granter learns of larger jumps half a second later. */
const MAXIMUM_REPORT_MS: Milliseconds = 500;
/** More calls than this part of what is expected are reported early; a few calls may be chance. */
const EARLY_PART = 1.5;
const EARLY_CALLS = 3;
/** The largest sudden demand for which limits hold, as a multiple of the demand before. */
const SUDDEN_FACTOR = 8;
/** The part of the burst and of the allowed excess that may pass unseen; the rest is for cuts and lost granters. */
const UNSEEN_PART = 0.5;
/** Passes from a report until all daemons know that the account is limited. */
const REACTION_MS: Milliseconds = 100;

export interface ReportSituation {
  readonly limit: AccountLimit;
  readonly isAdmitted: boolean;
  /** Whether the account is limited, or no granter has said that it is not. */
  readonly isLimited: boolean;
  /** Calls per second that this daemon was granted; 0 if it was granted none. */
  readonly heldRate: number;
  /** Calls per second on this daemon as of the last report. */
  readonly reportedDemand: number;
  /** The demand on all daemons as a part of the limit; 1 if it is not known. */
  readonly usedPart: number;
  readonly unreported: number;
}

/** Returns after how long the call that was just decided is reported at the latest. */
export function chooseReportInterval(
  situation: ReportSituation,
): Milliseconds {
  const { limit, heldRate, isAdmitted, reportedDemand, unreported } = situation;
  if (!isAdmitted) {
    return heldRate === 0 ? EARLY_REPORT_MS : REPORT_MS;
  }
  const interval = situation.isLimited
    ? REPORT_MS
    : computeCalmInterval(limit, situation.usedPart);
  const expected = interval > REPORT_MS
    ? reportedDemand * interval / SECOND_MS
    : heldRate * REPORT_MS / SECOND_MS;
  return unreported >= Math.max(EARLY_CALLS, expected * EARLY_PART)
    ? EARLY_REPORT_MS
    : interval;
}

/** Returns how long the calls of an account that is not limited may stay unreported. */
export function computeCalmInterval(
  limit: AccountLimit,
  usedPart: number,
): Milliseconds {
  const { requestsPerSecond, burst } = limit;
  const surplus = requestsPerSecond * (SUDDEN_FACTOR * usedPart - 1);
  if (surplus <= 0) {
    return MAXIMUM_REPORT_MS;
  }
  const unseen = (burst + computeAllowedExcess(limit)) * UNSEEN_PART;
  const interval = unseen / surplus * SECOND_MS - REACTION_MS;
  return Math.min(MAXIMUM_REPORT_MS, Math.max(REPORT_MS, interval));
}
