/**
 * The messages between a daemon and a lease coordinator.
 *
 * A daemon pledges its share of a limit to the coordinator and requests a lease. The coordinator
 * grants leases only out of the pledges it holds, so two daemons that both act as coordinator
 * never grant the same share twice.
 *
 * Clocks are not compared across hosts. A pledge expires at a time of the coordinator's clock,
 * counted from the coordinator's previous response. A lease is counted from the time its request
 * was sent, on the clock of the daemon that uses it. A process that was paused for longer than
 * that finds both expired.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { Amount } from "./quota.ts";

/** How long a lease is valid, counted from the time its request was sent. */
export const LEASE_MS: Milliseconds = 1_000;

/** How long a pledge is valid, counted from the coordinator's response that it refers to. */
export const PLEDGE_MS: Milliseconds = 1_000;

/** In a large domain pledges and leases last longer, so that they are renewed less often. */
export const LONG_LEASE_MS: Milliseconds = 3_000;
export const LONG_PLEDGE_MS: Milliseconds = 22_000;

export const LEASE_REQUEST = "admission-lease";
export const LEASE_GRANT = "admission-grant";

/** The part of a {@linkcode LeaseRequest} for one customer. */
export interface CustomerLeaseRequest {
  readonly customer: CustomerName;
  readonly pledged: Amount;
  /** On the coordinator's clock. */
  readonly pledgedUntil: Milliseconds;
  readonly demand: Amount;
  /** The unexpired lease from this coordinator. */
  readonly holding: Amount;
  /** Calls in flight beyond the daemon's own concurrency. */
  readonly inUse: number;
  /** The longest time for which a call counts against the concurrency limit. */
  readonly longestCall: Milliseconds;
  /**
   * The longest lease that may be granted out of this pledge: the daemon keeps its share locked
   * for this time after the pledge. {@linkcode LEASE_MS} when absent.
   */
  readonly leaseMilliseconds?: Milliseconds;
}

/**
 * The pledge of a daemon without demand: customer, rate, concurrency, and its expiry on the
 * coordinator's clock. A tuple takes a quarter of the bytes of a {@linkcode CustomerLeaseRequest}.
 */
export type IdlePledge = readonly [
  customer: CustomerName,
  rate: number,
  concurrency: number,
  pledgedUntil: Milliseconds,
];

export interface LeaseRequest extends LinkMessage {
  readonly kind: typeof LEASE_REQUEST;
  /** The start time of the coordinator's process that the pledges are made to. */
  readonly epoch: Milliseconds;
  /** Increases with each request of the process; requests that arrive out of order are ignored. */
  readonly sequence: number;
  readonly asks: readonly CustomerLeaseRequest[];
  readonly idle?: readonly IdlePledge[];
}

export interface LeaseGrant extends LinkMessage {
  readonly kind: typeof LEASE_GRANT;
  readonly epoch: Milliseconds;
  /** The time on the coordinator's clock. */
  readonly time: Milliseconds;
  readonly grants: readonly {
    readonly customer: CustomerName;
    readonly amount: Amount;
    /** {@linkcode LEASE_MS} when absent. */
    readonly leaseMilliseconds?: Milliseconds;
  }[];
}

export function isLeaseRequest(message: LinkMessage): message is LeaseRequest {
  const { epoch, sequence, asks, idle = [] } = message as Partial<LeaseRequest>;
  return message.kind === LEASE_REQUEST && isQuantity(epoch) &&
    isQuantity(sequence) && Array.isArray(asks) &&
    asks.every(isCustomerLeaseRequest) &&
    Array.isArray(idle) && idle.every(isIdlePledge);
}

export function isLeaseGrant(message: LinkMessage): message is LeaseGrant {
  const { epoch, time, grants } = message as Partial<LeaseGrant>;
  return message.kind === LEASE_GRANT && isQuantity(epoch) &&
    isQuantity(time) && Array.isArray(grants) &&
    grants.every((grant) =>
      typeof grant?.customer === "string" && isAmount(grant.amount) &&
      isQuantity(grant.leaseMilliseconds ?? LEASE_MS)
    );
}

function isCustomerLeaseRequest(
  ask: Partial<CustomerLeaseRequest> | undefined,
): boolean {
  return typeof ask?.customer === "string" && isAmount(ask.pledged) &&
    isAmount(ask.demand) && isAmount(ask.holding) &&
    isQuantity(ask.pledgedUntil) && isQuantity(ask.inUse) &&
    isQuantity(ask.longestCall) &&
    isQuantity(ask.leaseMilliseconds ?? LEASE_MS);
}

function isIdlePledge(pledge: unknown): boolean {
  return Array.isArray(pledge) && pledge.length === 4 &&
    typeof pledge[0] === "string" && pledge.slice(1).every(isQuantity);
}

function isAmount(amount: Partial<Amount> | undefined): boolean {
  return isQuantity(amount?.rate) && isQuantity(amount?.concurrency);
}

function isQuantity(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
