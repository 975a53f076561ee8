/**
 * Decides, as an owner of keys, on the claim attempts of all daemons.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { AttemptResult, ClaimAttempt } from "./claim_messages.ts";
import {
  chooseOwners,
  findAuthorityProblem,
  type OwnerView,
} from "./claim_owner.ts";
import type { ClaimEnd, ClaimTable } from "./claim_table.ts";
import { findAgeProblem } from "./idempotency_key.ts";

/** Creates the table key of a claim. It contains the customer, as customers do not share keys. */
export function createClaimId({ customer, key }: ClaimAttempt): string {
  return `${customer}|${key.text}`;
}

export interface AttemptContext {
  /** The owners of the key in the claimant's view. */
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
  const claimId = createClaimId(attempt);
  const state = table.lookUp(claimId, attempt.token);
  if (state.kind === "claimed") {
    return { result: "claimed", outcome: state.outcome };
  }
  const ageProblem = findAgeProblem(attempt.key, now);
  if (ageProblem !== undefined) {
    return { result: "unknown", reason: ageProblem };
  }
  if (state.kind === "withdrawn" || state.kind === "full") {
    return {
      result: "refused",
      reason: state.kind === "full"
        ? "The owner's claim table is full"
        : "The claim was released before it arrived",
    };
  }
  // Two claimants with different membership views could contact disjoint pairs of owners.
  const expectedOwners = chooseOwners(attempt.key, view.members);
  if (
    !expectedOwners.includes(view.self) ||
    !haveSameOwners(expectedOwners, owners)
  ) {
    return {
      result: "refused",
      reason: "The claimant and the owner see different owners of the key",
    };
  }
  const { token, key } = attempt;
  table.record(claimId, { token, createdAt: key.createdAt });
  return {
    result: "granted",
    isAuthoritative: findAuthorityProblem(key, view) === undefined,
  };
}

function haveSameOwners(
  first: readonly HostName[],
  second: readonly HostName[],
): boolean {
  return first.length === second.length &&
    first.every((host, index) => host === second[index]);
}

/** Ends the claim of an attempt; claims with another token are not changed. */
export function endAttempt(
  table: ClaimTable,
  attempt: ClaimAttempt,
  change: { readonly end: ClaimEnd; readonly now: Milliseconds },
): void {
  table.end(createClaimId(attempt), { token: attempt.token, ...change });
}
