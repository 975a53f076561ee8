/**
 * The owner's side of claims: decides on the attempts of all daemons.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { AttemptResult, ClaimAttempt } from "./claim_messages.ts";
import {
  chooseOwners,
  findAuthorityFault,
  type OwnerView,
} from "./claim_owner.ts";
import type { ClaimEnd, ClaimTable } from "./claim_table.ts";
import { findAgeFault } from "./idempotency_key.ts";

/** The text under which a claim is held; customers do not share keys. */
export function identifyClaim({ customer, key }: ClaimAttempt): string {
  return `${customer}|${key.text}`;
}

export interface AttemptContext {
  /** The owners of the key in the view of the claimant. */
  readonly owners: readonly HostName[];
  readonly view: OwnerView;
  readonly now: Milliseconds;
}

/** Decides on an attempt, and records the claim when it is granted. */
export function decideAttempt(
  table: ClaimTable,
  attempt: ClaimAttempt,
  { owners, view, now }: AttemptContext,
): AttemptResult {
  const identity = identifyClaim(attempt);
  const state = table.lookUp(identity, attempt.token);
  if (state.kind === "claimed") {
    return { result: "claimed", outcome: state.outcome };
  }
  const ageFault = findAgeFault(attempt.key, now);
  if (ageFault !== undefined) {
    return { result: "unknown", reason: ageFault };
  }
  if (state.kind === "withdrawn" || state.kind === "full") {
    return {
      result: "refused",
      reason: state.kind === "full"
        ? "The owner holds too many claims"
        : "The claim was withdrawn before it arrived",
    };
  }
  // With different views of the members two claimants could ask disjoint pairs of owners.
  const own = chooseOwners(attempt.key, view.members);
  if (!own.includes(view.self) || !isSamePair(own, owners)) {
    return { result: "refused", reason: "The members are changing" };
  }
  const { token, key } = attempt;
  table.record(identity, { token, createdAt: key.createdAt });
  return {
    result: "granted",
    isAuthoritative: findAuthorityFault(key, view) === undefined,
  };
}

function isSamePair(
  first: readonly HostName[],
  second: readonly HostName[],
): boolean {
  return first.length === second.length &&
    first.every((host, index) => host === second[index]);
}

/** Ends a claim; the claims of other tokens stay. */
export function endAttempt(
  table: ClaimTable,
  attempt: ClaimAttempt,
  change: { readonly end: ClaimEnd; readonly now: Milliseconds },
): void {
  table.end(identifyClaim(attempt), { token: attempt.token, ...change });
}
