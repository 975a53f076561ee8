/**
 * Admits calls within the rate and concurrency limits of the customer's contract.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import type { Amount } from "./quota.ts";

export type AdmissionRefusal = "rate-limit" | "concurrency-limit" | "draining";

/** An admitted call counts against the concurrency limit until its permit is disposed. */
export type Admission =
  | { readonly admitted: true; readonly permit: Disposable }
  | { readonly admitted: false; readonly reason: AdmissionRefusal };

/** The limits of a customer's contract that a daemon may currently use. */
export interface DaemonLimits {
  /** The daemon's own share, which needs no lease. */
  readonly own: Amount;
  /** The unexpired lease from the lease coordinator. */
  readonly leased: Amount;
}

export interface AdmissionController extends Disposable {
  /**
   * Whether this daemon has run long enough for the other daemons to count it, so that it may use
   * its share of the limits. Before that it admits calls only under leases. In a large domain it
   * may use its share later, after the long pledges of earlier members have expired.
   */
  readonly isEstablished: boolean;
  admit(contract: Contract): Admission;
  /** The limits of a customer; undefined if the daemon has no account of it. */
  findLimits(customer: CustomerName): DaemonLimits | undefined;
  /**
   * Like {@linkcode admit}, but a call that would be refused because no lease is in force yet
   * waits a short time for the first lease.
   */
  admitWaitingForLease(contract: Contract): Promise<Admission>;
}
