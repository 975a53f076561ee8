/**
 * A daemon's admission state for one customer: token bucket, calls in flight, pledge and lease.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { AdmissionRefusal, DaemonLimits } from "./admission.ts";
import {
  type CustomerLeaseRequest,
  type IdlePledge,
  LEASE_MS,
  LONG_LEASE_MS,
  LONG_PLEDGE_MS,
  PLEDGE_MS,
} from "./lease_messages.ts";
import { type Amount, type Entitlement, ZERO_AMOUNT } from "./quota.ts";
import { refillBucket, type TokenBucket } from "./token_bucket.ts";

/** The lease coordinator's process. A restarted coordinator no longer knows what it granted. */
export interface CoordinatorIdentity {
  readonly host: HostName;
  readonly epoch: Milliseconds;
}

/** Reserves the daemon's share of a limit for one coordinator until a point in time. */
interface Lock {
  readonly coordinator: CoordinatorIdentity;
  readonly until: Milliseconds;
}

interface Lease {
  readonly from: CoordinatorIdentity | undefined;
  readonly amount: Amount;
  readonly until: Milliseconds;
}

/** The last response of a coordinator. The expiry of the next pledge is counted from it. */
interface CoordinatorResponse {
  readonly coordinator: CoordinatorIdentity;
  readonly time: Milliseconds;
  readonly receivedAt: Milliseconds;
}

/** Time without calls after which an account may be idle. */
const IDLE_AFTER_MS: Milliseconds = 3_000;

/** Demand measured over a shorter window is mostly noise. */
const MINIMUM_DEMAND_WINDOW_SECONDS = 0.1;

/**
 * A pledge that exceeds the share by this factor is renewed without waiting for the next
 * scheduled pledge, for example after the contract changed.
 */
const PLEDGE_EXCESS_FACTOR = 1.1;

const NO_LEASE: Lease = {
  from: undefined,
  amount: ZERO_AMOUNT,
  until: -Infinity,
};

export interface CustomerAccount {
  readonly inFlight: number;
  /** Sets the daemon's share of the limits. */
  setEntitlement(entitlement: Entitlement, now: Milliseconds): void;
  /** Admits a call, or returns the limit that was reached. */
  admit(now: Milliseconds): AdmissionRefusal | undefined;
  release(): void;
  findLimits(now: Milliseconds): DaemonLimits;
  /** Whether the account has no lease, no recent call and no call beyond its own concurrency. */
  isIdle(now: Milliseconds): boolean;
  /** When the last lease was requested; `-Infinity` before the first request. */
  readonly lastLeaseRequestAt: Milliseconds;
  /** Whether an idle account should pledge its share to the coordinator now. */
  isPledgeDue(coordinator: CoordinatorIdentity, now: Milliseconds): boolean;
  /** Whether no lease is in force and the account has used up its own share. */
  needsLease(now: Milliseconds): boolean;
  /** Creates the pledge of an idle account and locks the pledged share. */
  preparePledge(
    coordinator: CoordinatorIdentity,
    now: Milliseconds,
  ): IdlePledge;
  /** Records that the coordinator received the pledge; the next one is due at `nextAt`. */
  confirmPledge(confirmation: {
    coordinator: CoordinatorIdentity;
    time: Milliseconds;
    receivedAt: Milliseconds;
    nextAt: Milliseconds;
  }): void;
  /** Creates the request for the next lease and locks the pledged share. */
  prepareLeaseRequest(
    coordinator: CoordinatorIdentity | undefined,
    now: Milliseconds,
  ): CustomerLeaseRequest;
  applyGrant(grant: {
    coordinator: CoordinatorIdentity;
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
  /** Whether the domain is large, so that pledges and leases are long; false when absent. */
  readonly isLarge?: () => boolean;
}

export function createCustomerAccount(
  options: AccountOptions,
): CustomerAccount {
  let entitlement: Entitlement = { own: ZERO_AMOUNT, pledged: ZERO_AMOUNT };
  let bucket: TokenBucket = { tokens: 0, updatedAt: options.now };
  let lease = NO_LEASE;
  const locks = new Map<keyof Amount, Lock>();
  let lastResponse: CoordinatorResponse | undefined;
  let inFlight = 0;
  let offeredCalls = 0;
  let demandWindowStart = options.now;
  let concurrencyRefusals = 0;
  let lastCallAt = -Infinity;
  let lastLeaseRequestAt = -Infinity;
  let nextPledgeAt = -Infinity;
  /** The rate of the last pledge sent to the coordinator, in calls per second. */
  let pledgedRate = 0;
  const isLarge = () => options.isLarge?.() ?? false;
  const pledgeDuration = () => isLarge() ? LONG_PLEDGE_MS : PLEDGE_MS;
  const leaseDuration = () => isLarge() ? LONG_LEASE_MS : LEASE_MS;

  function refill(now: Milliseconds): void {
    bucket = refillBucket(bucket, {
      own: entitlement.own.rate,
      leased: lease.amount.rate,
      leasedUntil: lease.until,
    }, now);
  }

  function getLeased(now: Milliseconds): Amount {
    return now < lease.until ? lease.amount : ZERO_AMOUNT;
  }

  /** The demand beyond the daemon's own share since the last measurement. Starts a new window. */
  function measureDemand(now: Milliseconds): Amount {
    const seconds = Math.max(
      MINIMUM_DEMAND_WINDOW_SECONDS,
      (now - demandWindowStart) / 1_000,
    );
    const demand = {
      rate: Math.max(0, offeredCalls / seconds - entitlement.own.rate),
      concurrency: Math.max(
        0,
        inFlight + concurrencyRefusals - entitlement.own.concurrency,
      ),
    };
    offeredCalls = 0;
    concurrencyRefusals = 0;
    demandWindowStart = now;
    return demand;
  }

  /** Locks and returns the daemon's share of a limit; 0 while locked to another coordinator. */
  function pledgeShare(
    limit: keyof Amount,
    now: Milliseconds,
    response: CoordinatorResponse,
  ): number {
    const lock = locks.get(limit);
    if (
      lock !== undefined &&
      !isSameCoordinator(lock.coordinator, response.coordinator) &&
      now < lock.until
    ) {
      return 0;
    }
    // The lock outlasts leases granted just before the pledge expires, and for concurrency the
    // calls admitted under them, so the share is never pledged to two coordinators.
    const callTime = limit === "concurrency" ? options.longestCall() : 0;
    const until = response.receivedAt + pledgeDuration() + leaseDuration() +
      callTime;
    locks.set(limit, {
      coordinator: response.coordinator,
      until: lock !== undefined &&
          isSameCoordinator(lock.coordinator, response.coordinator)
        ? Math.max(lock.until, until)
        : until,
    });
    return entitlement.pledged[limit];
  }

  function createPledge(
    coordinator: CoordinatorIdentity | undefined,
    now: Milliseconds,
  ) {
    if (
      coordinator === undefined || lastResponse === undefined ||
      !isSameCoordinator(lastResponse.coordinator, coordinator)
    ) {
      pledgedRate = 0;
      return { pledged: ZERO_AMOUNT, pledgedUntil: 0 };
    }
    const pledged = {
      rate: pledgeShare("rate", now, lastResponse),
      concurrency: pledgeShare("concurrency", now, lastResponse),
    };
    pledgedRate = pledged.rate;
    return { pledged, pledgedUntil: lastResponse.time + pledgeDuration() };
  }

  function isLockedToOtherCoordinator(
    coordinator: CoordinatorIdentity,
    now: Milliseconds,
  ) {
    const lock = locks.get("rate");
    return lock !== undefined && now < lock.until &&
      !isSameCoordinator(lock.coordinator, coordinator);
  }

  function isIdle(now: Milliseconds): boolean {
    return now - lastCallAt >= IDLE_AFTER_MS && now >= lease.until &&
      inFlight <= entitlement.own.concurrency;
  }

  return {
    get inFlight() {
      return inFlight;
    },
    get lastLeaseRequestAt() {
      return lastLeaseRequestAt;
    },
    isIdle,
    isPledgeDue(coordinator, now) {
      const { rate, concurrency } = entitlement.pledged;
      if (
        (rate === 0 && concurrency === 0) ||
        isLockedToOtherCoordinator(coordinator, now)
      ) {
        return false;
      }
      return lastResponse === undefined ||
        !isSameCoordinator(lastResponse.coordinator, coordinator) ||
        now >= nextPledgeAt || pledgedRate > rate * PLEDGE_EXCESS_FACTOR;
    },
    needsLease(now) {
      return now >= lease.until &&
        (bucket.tokens < 1 || inFlight >= entitlement.own.concurrency);
    },
    preparePledge(coordinator, now) {
      const { pledged, pledgedUntil } = createPledge(coordinator, now);
      return [
        options.customer,
        pledged.rate,
        pledged.concurrency,
        pledgedUntil,
      ];
    },
    confirmPledge({ coordinator, time, receivedAt, nextAt }) {
      // The first response only reveals the coordinator's clock; the actual pledge follows.
      nextPledgeAt = pledgedRate > 0 ? nextAt : receivedAt;
      lastResponse = { coordinator, time, receivedAt };
    },
    setEntitlement(next, now) {
      refill(now);
      entitlement = next;
    },
    admit(now) {
      refill(now);
      if (isIdle(now)) {
        offeredCalls = 0;
        demandWindowStart = now;
      }
      lastCallAt = now;
      offeredCalls += 1;
      const concurrency = entitlement.own.concurrency +
        getLeased(now).concurrency;
      if (inFlight >= concurrency) {
        concurrencyRefusals += 1;
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
    findLimits: (now) => ({ own: entitlement.own, leased: getLeased(now) }),
    prepareLeaseRequest(coordinator, now) {
      lastLeaseRequestAt = now;
      const isFromCoordinator = coordinator !== undefined &&
        lease.from !== undefined &&
        isSameCoordinator(lease.from, coordinator);
      return {
        customer: options.customer,
        ...createPledge(coordinator, now),
        demand: measureDemand(now),
        holding: isFromCoordinator ? getLeased(now) : ZERO_AMOUNT,
        inUse: Math.max(0, inFlight - entitlement.own.concurrency),
        longestCall: options.longestCall(),
        ...(isLarge() ? { leaseMilliseconds: LONG_LEASE_MS } : {}),
      };
    },
    applyGrant({
      coordinator,
      time,
      sentAt,
      receivedAt,
      amount,
      leaseMilliseconds = LEASE_MS,
    }) {
      refill(receivedAt);
      lastResponse = { coordinator, time, receivedAt };
      lease = { from: coordinator, amount, until: sentAt + leaseMilliseconds };
    },
  };
}

export function isSameCoordinator(
  left: CoordinatorIdentity,
  right: CoordinatorIdentity,
): boolean {
  return left.host === right.host && left.epoch === right.epoch;
}
