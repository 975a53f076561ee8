/**
 * When a daemon asks for leases and pledges its parts.
 *
 * @module
 */

import { hashToFraction } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { CustomerAccount, HolderIdentity } from "./customer_account.ts";
import { SMALL_DOMAIN_SIZE } from "./quota.ts";

/** Twice within a lease, so that one lost request does not interrupt it. */
export const RENEWAL_MS: Milliseconds = 400;

/** The same for long leases; a little less than three renewals, since timers are late. */
export const LONG_RENEWAL_MS: Milliseconds = 1_150;

/** Several times within a long pledge, so that a lost request does not interrupt it. */
export const IDLE_RENEWAL_MS: Milliseconds = 10_000;

/** An early request follows the last one for the customer after this time at least. */
export const EARLY_INTERVAL_MS: Milliseconds = 200;

/** Bounds the early requests of a daemon to 20 a second for each holder. */
export const EARLY_FLUSH_MS: Milliseconds = 50;

/** Whether short leases would cost too much. */
export function isLargeDomain(hosts: number, customers: number): boolean {
  return hosts > SMALL_DOMAIN_SIZE || customers > SMALL_DOMAIN_SIZE;
}

/**
 * Whether others may find the domain large. The views of daemons differ for a time, hence
 * the factor of two.
 */
export function isPossiblyLarge(hosts: number, customers: number): boolean {
  return isLargeDomain(2 * hosts, 2 * customers);
}

export type DueRequest = "ask" | "pledge" | "none";

/** What an account sends to its holder at a renewal. */
export function chooseRequest(
  account: CustomerAccount,
  { holder, now, isLarge }: {
    holder: HolderIdentity;
    now: Milliseconds;
    isLarge: boolean;
  },
): DueRequest {
  if (!isLarge) {
    return "ask";
  }
  if (account.isIdle(now)) {
    return account.isPledgeDue(holder, now) ? "pledge" : "none";
  }
  return now - account.lastAskAt >= LONG_RENEWAL_MS ? "ask" : "none";
}

/**
 * The next pledge of a daemon to a holder. All pledges between the two are sent together, and
 * the pledges of different daemons are spread over the interval.
 */
export function nextPledgeAt(
  from: HostName,
  to: HostName,
  now: Milliseconds,
): Milliseconds {
  const phase = hashToFraction(`${from}|${to}`) * IDLE_RENEWAL_MS;
  const rounds = Math.floor((now - phase) / IDLE_RENEWAL_MS) + 1;
  return rounds * IDLE_RENEWAL_MS + phase;
}

/** The customers for which a request to a holder is due. */
export interface DueCustomers {
  readonly holder: HolderIdentity;
  readonly ask: CustomerName[];
  readonly pledge: CustomerName[];
}

/** The list of one kind in the request to a holder. */
export function addDue(
  due: Map<HostName, DueCustomers>,
  holder: HolderIdentity,
  kind: "ask" | "pledge",
): CustomerName[] {
  let customers = due.get(holder.host);
  if (customers === undefined) {
    customers = { holder, ask: [], pledge: [] };
    due.set(holder.host, customers);
  }
  return customers[kind];
}
