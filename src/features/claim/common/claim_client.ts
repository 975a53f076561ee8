/**
 * Claims of idempotency keys before a non-idempotent call is dispatched.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { CustomerName } from "../../../world/common/names.ts";

/**
 * The answer to a claim. `granted`: this call may run. `claimed`: another call with the key
 * has run, is running or may have run. `unknown`: no owner can tell. `unavailable`: the owners
 * cannot be reached and nothing was claimed. `malformed`: the key has not the required form.
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

export interface Claim {
  /** The call certainly did not run; the key may be claimed again. */
  release(): void;
  /** The upstream's own answer went to the caller. */
  complete(): void;
  /** The call may have run. */
  abandon(): void;
}

export interface ClaimClient extends Disposable {
  claim(customer: CustomerName, key: string): Promise<ClaimAnswer>;
}
