/**
 * Admission of calls within the limits of the customer's contract.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Contract } from "../../../world/common/contract.ts";
import type { CustomerName } from "../../../world/common/names.ts";
import type { Amount } from "./quota.ts";

export type AdmissionRefusal = "rate-limit" | "concurrency-limit" | "draining";

/** An admitted call holds its part of the concurrency until it is disposed of. */
export type Admission =
  | { readonly admitted: true; readonly permit: Disposable }
  | { readonly admitted: false; readonly reason: AdmissionRefusal };

/** What a daemon may use of a customer's contract at this instant. */
export interface DaemonLimits {
  /** Its own part, which needs no lease. */
  readonly own: Amount;
  /** What the lease holder has granted and has not expired. */
  readonly leased: Amount;
}

export interface AdmissionController extends Disposable {
  /**
   * Whether this daemon has run long enough to be counted by the others, and so may take its
   * part of the limits. Before that it admits only what it is granted by lease. In a large domain
   * it may take its own part later, when the long pledges of the earlier members have ended.
   */
  readonly isEstablished: boolean;
  admit(contract: Contract): Admission;
  /** The limits of a customer; undefined while none of its calls was seen. */
  findLimits(customer: CustomerName): DaemonLimits | undefined;
  /**
   * The same, but a call of a new demand, for which there is no lease yet, waits for the first
   * lease for a short time.
   */
  admitWaitingForLease(contract: Contract): Promise<Admission>;
}
