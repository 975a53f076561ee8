/**
 * Schedules a daemon's lease requests and pledges.
 *
 * @module
 */

import { hashToFraction } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type {
  CoordinatorIdentity,
  CustomerAccount,
} from "./customer_account.ts";
import { MAXIMUM_SMALL_DOMAIN_SIZE } from "./quota.ts";

/** A short lease is renewed twice while it is valid, so that one lost request does not end it. */
export const RENEWAL_MS: Milliseconds = 400;

/** Renewal interval of long leases; just under three timer intervals, since timers fire late. */
export const LONG_RENEWAL_MS: Milliseconds = 1_150;

/** A long pledge is renewed twice while it is valid, so that one lost request does not end it. */
export const IDLE_RENEWAL_MS: Milliseconds = 10_000;

/** Minimum time between an early lease request and the previous request for the customer. */
export const EARLY_REQUEST_INTERVAL_MS: Milliseconds = 200;

/** Batches early requests: a daemon sends at most 20 per second to each coordinator. */
export const EARLY_REQUEST_BATCH_MS: Milliseconds = 50;

/** Whether short leases would cause too much control traffic. */
export function isLargeDomain(hosts: number, customers: number): boolean {
  return hosts > MAXIMUM_SMALL_DOMAIN_SIZE ||
    customers > MAXIMUM_SMALL_DOMAIN_SIZE;
}

/**
 * Whether other daemons may consider the domain large. The factor of two allows for daemons
 * whose views of hosts and customers differ temporarily.
 */
export function mayBeLargeDomain(hosts: number, customers: number): boolean {
  return isLargeDomain(2 * hosts, 2 * customers);
}

export type RequestKind = "lease" | "pledge" | "none";

/** Chooses what an account sends to its coordinator at a renewal. */
export function chooseRequest(
  account: CustomerAccount,
  { coordinator, now, isLarge }: {
    coordinator: CoordinatorIdentity;
    now: Milliseconds;
    isLarge: boolean;
  },
): RequestKind {
  if (!isLarge) {
    return "lease";
  }
  if (account.isIdle(now)) {
    return account.isPledgeDue(coordinator, now) ? "pledge" : "none";
  }
  return now - account.lastLeaseRequestAt >= LONG_RENEWAL_MS ? "lease" : "none";
}

/**
 * The time of a daemon's next pledge to a coordinator. All pledges between the two are sent
 * together, and the pledges of different daemons are spread over the interval.
 */
export function computeNextPledgeTime(
  from: HostName,
  to: HostName,
  now: Milliseconds,
): Milliseconds {
  const phase = hashToFraction(`${from}|${to}`) * IDLE_RENEWAL_MS;
  const rounds = Math.floor((now - phase) / IDLE_RENEWAL_MS) + 1;
  return rounds * IDLE_RENEWAL_MS + phase;
}

/** The customers for which a lease request or a pledge to a coordinator is due. */
export interface DueCustomers {
  readonly coordinator: CoordinatorIdentity;
  readonly lease: CustomerName[];
  readonly pledge: CustomerName[];
}

/** Returns the list of due customers of one kind for a coordinator, creating it if needed. */
export function getDueCustomers(
  due: Map<HostName, DueCustomers>,
  coordinator: CoordinatorIdentity,
  kind: "lease" | "pledge",
): CustomerName[] {
  let customers = due.get(coordinator.host);
  if (customers === undefined) {
    customers = { coordinator, lease: [], pledge: [] };
    due.set(coordinator.host, customers);
  }
  return customers[kind];
}
