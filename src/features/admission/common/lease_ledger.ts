/**
 * The lease holder's account of one customer: what was pledged and what is granted.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import { LEASE_MS, type LeaseAsk, PLEDGE_MS } from "./lease_messages.ts";
import { type Amount, NOTHING } from "./quota.ts";

/** What the holder knows of one daemon. */
export interface LedgerEntry {
  readonly pledged: Amount;
  readonly pledgedUntil: Milliseconds;
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
}

/** Takes a daemon's pledge and demand and grants a lease from what is free. */
export function answerAsk(
  ledger: LeaseLedger,
  ask: LeaseAsk,
  { host, now }: { host: HostName; now: Milliseconds },
): LedgerAnswer {
  const next = new Map(
    [...ledger].filter(([, entry]) => isInUse(entry, now)),
  );
  const entry: LedgerEntry = {
    pledged: ask.pledged,
    // A pledge cannot refer to an answer that was not given yet.
    pledgedUntil: Math.min(ask.pledgedUntil, now + PLEDGE_MS),
    demand: ask.demand,
    demandUntil: now + LEASE_MS,
    reserved: NOTHING,
    rateReservedUntil: now + LEASE_MS,
    concurrencyReservedUntil: now + LEASE_MS + ask.longestCall,
  };
  next.set(host, entry);
  const granted = {
    rate: grantShare(next, host, { now, limit: "rate" }),
    concurrency: Math.floor(
      grantShare(next, host, { now, limit: "concurrency" }),
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
  return { ledger: next, granted };
}

interface GrantOptions {
  readonly now: Milliseconds;
  readonly limit: keyof Amount;
}

/** By demand; what no one demands is divided equally. Never more than is free. */
function grantShare(
  ledger: LeaseLedger,
  host: HostName,
  { now, limit }: GrantOptions,
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
  const share = demanded > pool
    ? pool * demand / demanded
    : demand + (pool - demanded) / daemons;
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
