/**
 * A daemon's account of one customer: its bucket, its calls in flight, its pledge and lease.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { AdmissionRefusal, DaemonLimits } from "./admission.ts";
import { LEASE_MS, type LeaseAsk, PLEDGE_MS } from "./lease_messages.ts";
import { type Amount, type Entitlement, NOTHING } from "./quota.ts";
import { refillBucket, type TokenBucket } from "./token_bucket.ts";

/** The lease holder's process; a restarted holder has forgotten what it granted. */
export interface HolderIdentity {
  readonly host: HostName;
  readonly epoch: Milliseconds;
}

/** The daemon's part of a limit belongs to the holder until this instant. */
interface Lock {
  readonly to: HolderIdentity;
  readonly until: Milliseconds;
}

interface Lease {
  readonly from: HolderIdentity | undefined;
  readonly amount: Amount;
  readonly until: Milliseconds;
}

/** The last answer of a holder, to which the next pledge refers. */
interface HolderAnswer {
  readonly holder: HolderIdentity;
  readonly time: Milliseconds;
  readonly receivedAt: Milliseconds;
}

const NO_LEASE: Lease = { from: undefined, amount: NOTHING, until: -Infinity };

export interface CustomerAccount {
  readonly inFlight: number;
  /** Sets what the daemon is entitled to from now on. */
  setEntitlement(entitlement: Entitlement, now: Milliseconds): void;
  /** Admits a call, or says which limit is reached. */
  admit(now: Milliseconds): AdmissionRefusal | undefined;
  release(): void;
  findLimits(now: Milliseconds): DaemonLimits;
  /** The request for the next lease. */
  prepareAsk(
    holder: HolderIdentity | undefined,
    now: Milliseconds,
  ): LeaseAsk;
  takeGrant(grant: {
    holder: HolderIdentity;
    time: Milliseconds;
    sentAt: Milliseconds;
    receivedAt: Milliseconds;
    amount: Amount;
  }): void;
}

export interface AccountOptions {
  readonly customer: CustomerName;
  readonly now: Milliseconds;
  readonly longestCall: () => Milliseconds;
}

export function createCustomerAccount(
  options: AccountOptions,
): CustomerAccount {
  let entitlement: Entitlement = { own: NOTHING, pledged: NOTHING };
  let bucket: TokenBucket = { tokens: 0, updatedAt: options.now };
  let lease = NO_LEASE;
  const locks = new Map<keyof Amount, Lock>();
  let answer: HolderAnswer | undefined;
  let inFlight = 0;
  let asked = 0;
  let askedSince = options.now;
  let refusedForConcurrency = 0;

  function refill(now: Milliseconds): void {
    bucket = refillBucket(bucket, {
      own: entitlement.own.rate,
      leased: lease.amount.rate,
      leasedUntil: lease.until,
    }, now);
  }

  function leasedAt(now: Milliseconds): Amount {
    return now < lease.until ? lease.amount : NOTHING;
  }

  function demandAt(now: Milliseconds): Amount {
    const seconds = Math.max(0.001, (now - askedSince) / 1_000);
    const demand = {
      rate: Math.max(0, asked / seconds - entitlement.own.rate),
      concurrency: Math.max(
        0,
        inFlight + refusedForConcurrency - entitlement.own.concurrency,
      ),
    };
    asked = 0;
    refusedForConcurrency = 0;
    askedSince = now;
    return demand;
  }

  /** The daemon's part of a limit, unless it is locked to another holder. */
  function pledgePart(
    limit: keyof Amount,
    now: Milliseconds,
    current: HolderAnswer,
  ): number {
    const lock = locks.get(limit);
    if (
      lock !== undefined && !isSame(lock.to, current.holder) &&
      now < lock.until
    ) {
      return 0;
    }
    // Leases granted on the last moment of the pledge, and the calls that hold their
    // concurrency, end before the part can be pledged to another.
    const extra = limit === "concurrency" ? options.longestCall() : 0;
    locks.set(limit, {
      to: current.holder,
      until: current.receivedAt + PLEDGE_MS + LEASE_MS + extra,
    });
    return entitlement.pledged[limit];
  }

  function pledgeTo(holder: HolderIdentity | undefined, now: Milliseconds) {
    if (
      holder === undefined || answer === undefined ||
      !isSame(answer.holder, holder)
    ) {
      return { pledged: NOTHING, pledgedUntil: 0 };
    }
    return {
      pledged: {
        rate: pledgePart("rate", now, answer),
        concurrency: pledgePart("concurrency", now, answer),
      },
      pledgedUntil: answer.time + PLEDGE_MS,
    };
  }

  return {
    get inFlight() {
      return inFlight;
    },
    setEntitlement(next, now) {
      refill(now);
      entitlement = next;
    },
    admit(now) {
      refill(now);
      asked += 1;
      const concurrency = entitlement.own.concurrency +
        leasedAt(now).concurrency;
      if (inFlight >= concurrency) {
        refusedForConcurrency += 1;
        return "concurrency-limit";
      }
      if (bucket.tokens < 1) {
        return "rate-limit";
      }
      bucket = { ...bucket, tokens: bucket.tokens - 1 };
      inFlight += 1;
      return undefined;
    },
    release() {
      inFlight -= 1;
    },
    findLimits: (now) => ({ own: entitlement.own, leased: leasedAt(now) }),
    prepareAsk(holder, now) {
      const isOwnLease = holder !== undefined && lease.from !== undefined &&
        isSame(lease.from, holder);
      return {
        customer: options.customer,
        ...pledgeTo(holder, now),
        demand: demandAt(now),
        holding: isOwnLease ? leasedAt(now) : NOTHING,
        inUse: Math.max(0, inFlight - entitlement.own.concurrency),
        longestCall: options.longestCall(),
      };
    },
    takeGrant({ holder, time, sentAt, receivedAt, amount }) {
      refill(receivedAt);
      answer = { holder, time, receivedAt };
      lease = { from: holder, amount, until: sentAt + LEASE_MS };
    },
  };
}

export function isSame(left: HolderIdentity, right: HolderIdentity): boolean {
  return left.host === right.host && left.epoch === right.epoch;
}
