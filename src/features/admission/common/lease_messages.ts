/**
 * The messages between a daemon and a lease holder.
 *
 * A daemon pledges its part of a limit to the holder and asks for a lease. The holder grants
 * leases out of the pledges that it has, so two daemons that both believe themselves to be
 * the holder never grant the same part twice.
 *
 * Clocks are not compared across hosts. A pledge is valid until an instant of the holder's
 * clock, counted from the holder's previous answer; a lease is valid from the sending of the
 * request by the clock of the daemon that uses it. A process that was paused therefore finds
 * both expired.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { Amount } from "./quota.ts";

/** How long a lease is valid after its request was sent. */
export const LEASE_MS: Milliseconds = 1_000;

/** How long a pledge is valid after the holder's answer to which it refers. */
export const PLEDGE_MS: Milliseconds = 1_000;

/** In a large domain pledges and leases last longer, so that they are renewed less often. */
export const LONG_LEASE_MS: Milliseconds = 3_000;
export const LONG_PLEDGE_MS: Milliseconds = 22_000;

export const LEASE_REQUEST = "admission-lease";
export const LEASE_GRANT = "admission-grant";

export interface LeaseAsk {
  readonly customer: CustomerName;
  readonly pledged: Amount;
  /** By the holder's clock. */
  readonly pledgedUntil: Milliseconds;
  readonly demand: Amount;
  /** The lease from this holder that is still valid. */
  readonly holding: Amount;
  /** Calls in flight beyond the own concurrency. */
  readonly inUse: number;
  /** The longest time for which a call may hold its concurrency. */
  readonly longestCall: Milliseconds;
  /**
   * The longest lease that may be granted out of this pledge, since the daemon keeps its part
   * locked for this time after the pledge; {@linkcode LEASE_MS} when absent.
   */
  readonly leaseMilliseconds?: Milliseconds;
}

/**
 * The pledge of a daemon that has no demand: customer, rate, concurrency, and the instant of
 * the holder's clock at which it ends. A list takes a quarter of the bytes of a full ask.
 */
export type IdlePledge = readonly [
  customer: CustomerName,
  rate: number,
  concurrency: number,
  pledgedUntil: Milliseconds,
];

export interface LeaseRequest extends LinkMessage {
  readonly kind: typeof LEASE_REQUEST;
  /** The start of the holder's process to which the pledges refer. */
  readonly epoch: Milliseconds;
  /** Grows with each request of the process; a request that was overtaken is ignored. */
  readonly sequence: number;
  readonly asks: readonly LeaseAsk[];
  readonly idle?: readonly IdlePledge[];
}

export interface LeaseGrant extends LinkMessage {
  readonly kind: typeof LEASE_GRANT;
  readonly epoch: Milliseconds;
  /** The holder's clock. */
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
    isQuantity(sequence) && Array.isArray(asks) && asks.every(isAsk) &&
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

function isAsk(ask: Partial<LeaseAsk> | undefined): boolean {
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
