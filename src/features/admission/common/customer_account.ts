/**
 * A daemon's account of one customer: its bucket, its calls in flight, its pledge and lease.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { AdmissionRefusal, DaemonLimits } from "./admission.ts";
import {
  type IdlePledge,
  LEASE_MS,
  type LeaseAsk,
  LONG_LEASE_MS,
  LONG_PLEDGE_MS,
  PLEDGE_MS,
} from "./lease_messages.ts";
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

/** An account without a call for this time is idle. */
const IDLE_AFTER_MS: Milliseconds = 3_000;

/** Demand that is measured over less than this is mostly noise. */
const SHORTEST_DEMAND_SECONDS = 0.1;

/** A pledge that is too large by this factor is corrected at once, as after a new contract. */
const EXCESS_FACTOR = 1.1;

const NO_LEASE: Lease = { from: undefined, amount: NOTHING, until: -Infinity };

export interface CustomerAccount {
  readonly inFlight: number;
  /** Sets what the daemon is entitled to from now on. */
  setEntitlement(entitlement: Entitlement, now: Milliseconds): void;
  /** Admits a call, or says which limit is reached. */
  admit(now: Milliseconds): AdmissionRefusal | undefined;
  release(): void;
  findLimits(now: Milliseconds): DaemonLimits;
  /** Whether no lease is in force and no call came for a while. */
  isIdle(now: Milliseconds): boolean;
  /** The last request for a lease. */
  readonly lastAskAt: Milliseconds;
  /** Whether an idle account should pledge its part to the holder now. */
  isPledgeDue(holder: HolderIdentity, now: Milliseconds): boolean;
  /** Whether the account has used up what it has without a lease. */
  needsLease(now: Milliseconds): boolean;
  preparePledge(holder: HolderIdentity, now: Milliseconds): IdlePledge;
  /** The holder has the pledge; the next is due at the given instant. */
  confirmPledge(confirmation: {
    holder: HolderIdentity;
    time: Milliseconds;
    receivedAt: Milliseconds;
    nextAt: Milliseconds;
  }): void;
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
    leaseMilliseconds?: Milliseconds;
  }): void;
}

export interface AccountOptions {
  readonly customer: CustomerName;
  readonly now: Milliseconds;
  readonly longestCall: () => Milliseconds;
  /** Whether pledges and leases are long; they are not when absent. */
  readonly isLarge?: () => boolean;
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
  let lastCallAt = -Infinity;
  let lastAskAt = -Infinity;
  let nextPledgeAt = -Infinity;
  /** What the holder was last told; nothing before. */
  let pledgedRate = 0;
  const isLarge = () => options.isLarge?.() ?? false;
  const pledgeTime = () => isLarge() ? LONG_PLEDGE_MS : PLEDGE_MS;
  const leaseTime = () => isLarge() ? LONG_LEASE_MS : LEASE_MS;

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
    const seconds = Math.max(
      SHORTEST_DEMAND_SECONDS,
      (now - askedSince) / 1_000,
    );
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
    const until = current.receivedAt + pledgeTime() + leaseTime() + extra;
    locks.set(limit, {
      to: current.holder,
      until: lock !== undefined && isSame(lock.to, current.holder)
        ? Math.max(lock.until, until)
        : until,
    });
    return entitlement.pledged[limit];
  }

  function pledgeTo(holder: HolderIdentity | undefined, now: Milliseconds) {
    if (
      holder === undefined || answer === undefined ||
      !isSame(answer.holder, holder)
    ) {
      pledgedRate = 0;
      return { pledged: NOTHING, pledgedUntil: 0 };
    }
    const pledged = {
      rate: pledgePart("rate", now, answer),
      concurrency: pledgePart("concurrency", now, answer),
    };
    pledgedRate = pledged.rate;
    return { pledged, pledgedUntil: answer.time + pledgeTime() };
  }

  function isLockedToAnother(holder: HolderIdentity, now: Milliseconds) {
    const lock = locks.get("rate");
    return lock !== undefined && now < lock.until && !isSame(lock.to, holder);
  }

  function isIdle(now: Milliseconds): boolean {
    return now - lastCallAt >= IDLE_AFTER_MS && now >= lease.until &&
      inFlight <= entitlement.own.concurrency;
  }

  return {
    get inFlight() {
      return inFlight;
    },
    get lastAskAt() {
      return lastAskAt;
    },
    isIdle,
    isPledgeDue(holder, now) {
      const { rate, concurrency } = entitlement.pledged;
      if ((rate === 0 && concurrency === 0) || isLockedToAnother(holder, now)) {
        return false;
      }
      return answer === undefined || !isSame(answer.holder, holder) ||
        now >= nextPledgeAt || pledgedRate > rate * EXCESS_FACTOR;
    },
    needsLease(now) {
      return now >= lease.until &&
        (bucket.tokens < 1 || inFlight >= entitlement.own.concurrency);
    },
    preparePledge(holder, now) {
      const { pledged, pledgedUntil } = pledgeTo(holder, now);
      return [
        options.customer,
        pledged.rate,
        pledged.concurrency,
        pledgedUntil,
      ];
    },
    confirmPledge({ holder, time, receivedAt, nextAt }) {
      // The first answer gives the holder's clock; the pledge itself follows.
      nextPledgeAt = pledgedRate > 0 ? nextAt : receivedAt;
      answer = { holder, time, receivedAt };
    },
    setEntitlement(next, now) {
      refill(now);
      entitlement = next;
    },
    admit(now) {
      refill(now);
      if (isIdle(now)) {
        asked = 0;
        askedSince = now;
      }
      lastCallAt = now;
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
      lastAskAt = now;
      const isOwnLease = holder !== undefined && lease.from !== undefined &&
        isSame(lease.from, holder);
      return {
        customer: options.customer,
        ...pledgeTo(holder, now),
        demand: demandAt(now),
        holding: isOwnLease ? leasedAt(now) : NOTHING,
        inUse: Math.max(0, inFlight - entitlement.own.concurrency),
        longestCall: options.longestCall(),
        ...(isLarge() ? { leaseMilliseconds: LONG_LEASE_MS } : {}),
      };
    },
    takeGrant({
      holder,
      time,
      sentAt,
      receivedAt,
      amount,
      leaseMilliseconds = LEASE_MS,
    }) {
      refill(receivedAt);
      answer = { holder, time, receivedAt };
      lease = { from: holder, amount, until: sentAt + leaseMilliseconds };
    },
  };
}

export function isSame(left: HolderIdentity, right: HolderIdentity): boolean {
  return left.host === right.host && left.epoch === right.epoch;
}
