/**
 * The lease holder's account of one customer: what was pledged and what is granted.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  type IdlePledge,
  LEASE_MS,
  type LeaseAsk,
  LONG_LEASE_MS,
  LONG_PLEDGE_MS,
} from "./lease_messages.ts";
import { type Amount, NOTHING } from "./quota.ts";

/** What a daemon gets beyond its demand in a large domain; it asks early when it needs more. */
const SPARE_OF_UNDEMANDED = 0.25;
const SPARE_OF_DEMAND = 0.5;
const SPARE_OF_POOL = 1 / 32;

/** What the holder knows of one daemon. */
export interface LedgerEntry {
  readonly pledged: Amount;
  readonly pledgedUntil: Milliseconds;
  /** The longest lease that may be granted out of the pledge. */
  readonly leaseMilliseconds: Milliseconds;
  readonly demand: Amount;
  readonly demandUntil: Milliseconds;
  /** What the daemon may be using, and until when. */
  readonly reserved: Amount;
  readonly rateReservedUntil: Milliseconds;
  readonly concurrencyReservedUntil: Milliseconds;
}

export type LeaseLedger = ReadonlyMap<HostName, LedgerEntry>;

export interface LedgerAnswer {
  readonly ledger: LeaseLedger;
  readonly granted: Amount;
  readonly leaseMilliseconds: Milliseconds;
}

export interface AskOptions {
  readonly host: HostName;
  readonly now: Milliseconds;
  /** Limits what is granted beyond the demand, so that a daemon that asks next finds some. */
  readonly keepsSpare?: boolean;
}

/** Takes the pledge of a daemon without demand; a lease that it may still use stays reserved. */
export function takeIdlePledge(
  ledger: LeaseLedger,
  [, rate, concurrency, pledgedUntil]: IdlePledge,
  { host, now }: AskOptions,
): LeaseLedger {
  const next = new Map(
    [...ledger].filter(([, entry]) => isInUse(entry, now)),
  );
  const {
    reserved = NOTHING,
    rateReservedUntil = 0,
    concurrencyReservedUntil = 0,
  } = next.get(host) ?? {};
  return next.set(host, {
    pledged: { rate, concurrency },
    pledgedUntil: Math.min(pledgedUntil, now + LONG_PLEDGE_MS),
    leaseMilliseconds: LONG_LEASE_MS,
    demand: NOTHING,
    demandUntil: 0,
    reserved,
    rateReservedUntil,
    concurrencyReservedUntil,
  });
}

/** Takes a daemon's pledge and demand and grants a lease from what is free. */
export function answerAsk(
  ledger: LeaseLedger,
  ask: LeaseAsk,
  { host, now, keepsSpare = false }: AskOptions,
): LedgerAnswer {
  const next = new Map(
    [...ledger].filter(([, entry]) => isInUse(entry, now)),
  );
  const before = next.get(host);
  const ownLease = Math.min(ask.leaseMilliseconds ?? LEASE_MS, LONG_LEASE_MS);
  const lease = findLongestLease(next, ownLease, now);
  const until = now + lease;
  const entry: LedgerEntry = {
    pledged: ask.pledged,
    // A pledge cannot refer to an answer that was not given yet.
    pledgedUntil: Math.min(ask.pledgedUntil, now + LONG_PLEDGE_MS),
    leaseMilliseconds: ownLease,
    demand: ask.demand,
    demandUntil: until,
    reserved: NOTHING,
    // An earlier lease may be longer than this one.
    rateReservedUntil: Math.max(until, before?.rateReservedUntil ?? 0),
    concurrencyReservedUntil: Math.max(
      until + ask.longestCall,
      before?.concurrencyReservedUntil ?? 0,
    ),
  };
  next.set(host, entry);
  const granted = {
    rate: grantShare(next, host, { now, limit: "rate", keepsSpare }),
    concurrency: Math.floor(
      grantShare(next, host, { now, limit: "concurrency", keepsSpare }),
    ),
  };
  // Until it gets this answer the daemon goes on with what it holds.
  const reserved = {
    rate: Math.max(granted.rate, ask.holding.rate),
    concurrency: Math.max(
      granted.concurrency,
      ask.holding.concurrency,
      ask.inUse,
    ),
  };
  next.set(host, { ...entry, reserved });
  return { ledger: next, granted, leaseMilliseconds: lease };
}

/** No lease outlasts the locks of the daemons whose pledges it may come from. */
function findLongestLease(
  ledger: LeaseLedger,
  ownLease: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  let longest = ownLease;
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
  readonly keepsSpare: boolean;
}

/** By demand; what no one demands is divided equally. Never more than is free. */
function grantShare(
  ledger: LeaseLedger,
  host: HostName,
  { now, limit, keepsSpare }: GrantOptions,
): number {
  let pool = 0;
  let demanded = 0;
  let daemons = 0;
  let reserved = 0;
  for (const [other, entry] of ledger) {
    pool += now < entry.pledgedUntil ? entry.pledged[limit] : 0;
    if (now < entry.demandUntil) {
      demanded += entry.demand[limit];
      daemons += 1;
    }
    reserved += other === host ? 0 : reservedBy(entry, now, limit);
  }
  const demand = ledger.get(host)!.demand[limit];
  const spare = keepsSpare
    ? Math.min(
      (pool - demanded) * SPARE_OF_UNDEMANDED / daemons,
      demand * SPARE_OF_DEMAND + pool * SPARE_OF_POOL,
    )
    : (pool - demanded) / daemons;
  const share = demanded > pool ? pool * demand / demanded : demand + spare;
  return Math.max(0, Math.min(share, pool - reserved));
}

function reservedBy(
  entry: LedgerEntry,
  now: Milliseconds,
  limit: keyof Amount,
): number {
  const until = limit === "rate"
    ? entry.rateReservedUntil
    : entry.concurrencyReservedUntil;
  return now < until ? entry.reserved[limit] : 0;
}

function isInUse(entry: LedgerEntry, now: Milliseconds): boolean {
  return now < Math.max(entry.pledgedUntil, entry.concurrencyReservedUntil);
}
