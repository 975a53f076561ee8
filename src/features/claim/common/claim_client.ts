/**
 * The interface that claims an idempotency key before a non-idempotent call is dispatched.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { CustomerName } from "../../../world/common/names.ts";

/**
 * The answer to a claim. `granted`: this call may run. `claimed`: another call with the key
 * has run, is running or may have run. `unknown`: no owner can tell whether the key was claimed
 * before. `unavailable`: the claim was refused or the owners cannot be reached, and nothing was
 * claimed. `malformed`: the key does not have the required format.
 */
export type ClaimAnswer =
  | { readonly kind: "granted"; readonly claim: Claim }
  | {
    readonly kind: "claimed";
    readonly outcome: "running" | "answered" | "unknown";
  }
  | { readonly kind: "unknown"; readonly reason: string }
  | { readonly kind: "unavailable"; readonly reason: string }
  | { readonly kind: "malformed"; readonly reason: string };

/** A granted claim. Exactly one method should be called; later calls have no effect. */
export interface Claim {
  /** The call did not run; the key may be claimed again. */
  release(): void;
  /** The upstream's answer was returned to the caller. */
  complete(): void;
  /** The call may have run. */
  abandon(): void;
}

export interface ClaimClient extends Disposable {
  claim(customer: CustomerName, key: string): Promise<ClaimAnswer>;
}
