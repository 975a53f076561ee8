/**
 * The lease coordinator's ledger of one customer: the pledges and the granted leases.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  type CustomerLeaseRequest,
  type IdlePledge,
  LEASE_MS,
  LONG_LEASE_MS,
  LONG_PLEDGE_MS,
} from "./lease_messages.ts";
import { type Amount, ZERO_AMOUNT } from "./quota.ts";

/**
 * Limits of what a daemon is granted beyond its demand in a large domain. It sends an early
 * request when it needs more.
 */
const HEADROOM_OF_UNUSED_POOL = 0.25;
const HEADROOM_OF_DEMAND = 0.5;
const HEADROOM_OF_POOL = 1 / 32;

/** The coordinator's state for one daemon. */
export interface LedgerEntry {
  readonly pledged: Amount;
  readonly pledgedUntil: Milliseconds;
  /** The longest lease that may be granted out of the pledge. */
  readonly leaseMilliseconds: Milliseconds;
  readonly demand: Amount;
  readonly demandUntil: Milliseconds;
  /** The amounts that the daemon may be using, until the times below. */
  readonly reserved: Amount;
  readonly rateReservedUntil: Milliseconds;
  readonly concurrencyReservedUntil: Milliseconds;
}

/** The pledges, demands and leases of all daemons for one customer, by host. */
export type LeaseLedger = ReadonlyMap<HostName, LedgerEntry>;

export interface LeaseDecision {
  readonly ledger: LeaseLedger;
  readonly granted: Amount;
  readonly leaseMilliseconds: Milliseconds;
}

export interface LedgerRequestContext {
  readonly host: HostName;
  readonly now: Milliseconds;
  /** Limits what is granted beyond the demand, so that some is left for other daemons. */
  readonly limitsHeadroom?: boolean;
}

/** Records the pledge of a daemon without demand; a lease that it may still use stays reserved. */
export function recordIdlePledge(
  ledger: LeaseLedger,
  [, rate, concurrency, pledgedUntil]: IdlePledge,
  { host, now }: LedgerRequestContext,
): LeaseLedger {
  const updated = new Map(
    [...ledger].filter(([, entry]) => isActive(entry, now)),
  );
  const {
    reserved = ZERO_AMOUNT,
    rateReservedUntil = 0,
    concurrencyReservedUntil = 0,
  } = updated.get(host) ?? {};
  return updated.set(host, {
    pledged: { rate, concurrency },
    pledgedUntil: Math.min(pledgedUntil, now + LONG_PLEDGE_MS),
    leaseMilliseconds: LONG_LEASE_MS,
    demand: ZERO_AMOUNT,
    demandUntil: 0,
    reserved,
    rateReservedUntil,
    concurrencyReservedUntil,
  });
}

/** Records a daemon's pledge and demand and grants a lease from the unreserved pool. */
export function grantLease(
  ledger: LeaseLedger,
  request: CustomerLeaseRequest,
  { host, now, limitsHeadroom = false }: LedgerRequestContext,
): LeaseDecision {
  const updated = new Map(
    [...ledger].filter(([, entry]) => isActive(entry, now)),
  );
  const previous = updated.get(host);
  const requestedDuration = Math.min(
    request.leaseMilliseconds ?? LEASE_MS,
    LONG_LEASE_MS,
  );
  const duration = findLongestDuration(updated, requestedDuration, now);
  const until = now + duration;
  const entry: LedgerEntry = {
    pledged: request.pledged,
    // A pledge cannot refer to a response that was not sent yet.
    pledgedUntil: Math.min(request.pledgedUntil, now + LONG_PLEDGE_MS),
    leaseMilliseconds: requestedDuration,
    demand: request.demand,
    demandUntil: until,
    reserved: ZERO_AMOUNT,
    // An earlier lease may expire later than this one.
    rateReservedUntil: Math.max(until, previous?.rateReservedUntil ?? 0),
    concurrencyReservedUntil: Math.max(
      until + request.longestCall,
      previous?.concurrencyReservedUntil ?? 0,
    ),
  };
  updated.set(host, entry);
  const granted = {
    rate: computeGrant(updated, host, { now, limit: "rate", limitsHeadroom }),
    concurrency: Math.floor(
      computeGrant(updated, host, {
        now,
        limit: "concurrency",
        limitsHeadroom,
      }),
    ),
  };
  // The daemon keeps using its current lease until it receives this response.
  const reserved = {
    rate: Math.max(granted.rate, request.holding.rate),
    concurrency: Math.max(
      granted.concurrency,
      request.holding.concurrency,
      request.inUse,
    ),
  };
  updated.set(host, { ...entry, reserved });
  return { ledger: updated, granted, leaseMilliseconds: duration };
}

/** The longest lease that ends before the locks of all daemons whose pledges may cover it. */
function findLongestDuration(
  ledger: LeaseLedger,
  requestedDuration: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  let longest = requestedDuration;
  for (const entry of ledger.values()) {
    if (now < entry.pledgedUntil) {
      longest = Math.min(longest, entry.leaseMilliseconds);
    }
  }
  return longest;
}

interface GrantOptions {
  readonly now: Milliseconds;
  readonly limit: keyof Amount;
  readonly limitsHeadroom: boolean;
}

/**
 * Divides the pool in proportion to demand, or, when it exceeds the demand, grants the demand and
 * an equal part of the rest. Never grants more than the unreserved pool.
 */
function computeGrant(
  ledger: LeaseLedger,
  host: HostName,
  { now, limit, limitsHeadroom }: GrantOptions,
): number {
  let pool = 0;
  let totalDemand = 0;
  let requestingDaemons = 0;
  let reserved = 0;
  for (const [other, entry] of ledger) {
    pool += now < entry.pledgedUntil ? entry.pledged[limit] : 0;
    if (now < entry.demandUntil) {
      totalDemand += entry.demand[limit];
      requestingDaemons += 1;
    }
    reserved += other === host ? 0 : getReserved(entry, now, limit);
  }
  const demand = ledger.get(host)!.demand[limit];
  const headroom = limitsHeadroom
    ? Math.min(
      (pool - totalDemand) * HEADROOM_OF_UNUSED_POOL / requestingDaemons,
      demand * HEADROOM_OF_DEMAND + pool * HEADROOM_OF_POOL,
    )
    : (pool - totalDemand) / requestingDaemons;
  const share = totalDemand > pool
    ? pool * demand / totalDemand
    : demand + headroom;
  return Math.max(0, Math.min(share, pool - reserved));
}

function getReserved(
  entry: LedgerEntry,
  now: Milliseconds,
  limit: keyof Amount,
): number {
  const until = limit === "rate"
    ? entry.rateReservedUntil
    : entry.concurrencyReservedUntil;
  return now < until ? entry.reserved[limit] : 0;
}

function isActive(entry: LedgerEntry, now: Milliseconds): boolean {
  return now < Math.max(entry.pledgedUntil, entry.concurrencyReservedUntil);
}
