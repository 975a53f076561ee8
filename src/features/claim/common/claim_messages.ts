/**
 * The messages between daemons that claim idempotency keys and the owners of the keys.
 *
 * @module
 */

import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { ClaimEnd, ClaimOutcome } from "./claim_table.ts";
import { type IdempotencyKey, parseIdempotencyKey } from "./idempotency_key.ts";

/** Asks an owner for a claim. */
export const CLAIM_KIND = "claim";
/** Asks a daemon of the key's home domain to claim the key at its owners. */
export const FORWARD_KIND = "claim-forward";
/** Notifies an owner of the end of a claim. */
export const END_KIND = "claim-end";
/** Asks a daemon of the key's home domain to notify the owners of the end of a claim. */
export const FORWARD_END_KIND = "claim-forward-end";

/** One attempt to claim a key. The token distinguishes attempts with the same key. */
export interface ClaimAttempt {
  readonly customer: CustomerName;
  readonly key: IdempotencyKey;
  readonly token: string;
}

export interface ClaimMessage extends LinkMessage {
  readonly customer: CustomerName;
  readonly key: string;
  readonly token: string;
  /** The owners of the key in the claimant's view; for `claim`. */
  readonly owners?: readonly HostName[];
  /** For `claim-end` and `claim-forward-end`. */
  readonly end?: ClaimEnd;
}

/**
 * The result of an attempt. `refused`: nothing is claimed at this owner, and the attempt may be
 * repeated. `unknown`: no owner can tell whether the key was claimed before.
 */
export type AttemptResult =
  | { readonly result: "granted"; readonly isAuthoritative: boolean }
  | { readonly result: "claimed"; readonly outcome: ClaimOutcome }
  | { readonly result: "refused"; readonly reason: string }
  | { readonly result: "unknown"; readonly reason: string };

export type AnswerMessage = LinkMessage & AttemptResult;

const OUTCOMES: readonly string[] = ["running", "answered", "unknown"];
const ENDS: readonly string[] = ["released", "answered", "unknown"];

export function encodeAttempt(
  kind: string,
  { customer, key, token }: ClaimAttempt,
  fields: Pick<ClaimMessage, "owners" | "end"> = {},
): ClaimMessage {
  return { kind, customer, key: key.text, token, ...fields };
}

/** Decodes the attempt of a message; undefined if it is invalid. */
export function decodeAttempt(message: LinkMessage): ClaimAttempt | undefined {
  const { customer, key: text, token } = message as ClaimMessage;
  const key = typeof text === "string" ? parseIdempotencyKey(text) : undefined;
  const isValid = key !== undefined && typeof customer === "string" &&
    typeof token === "string";
  return isValid ? { customer, key, token } : undefined;
}

/** Decodes the end of a claim; undefined if it is missing or invalid. */
export function decodeEnd(message: LinkMessage): ClaimEnd | undefined {
  const { end } = message as ClaimMessage;
  return end !== undefined && ENDS.includes(end) ? end : undefined;
}

/** Decodes an answer. An answer with an unknown result counts as refused. */
export function decodeAnswer(message: LinkMessage): AttemptResult {
  const answer = message as AnswerMessage;
  switch (answer.result) {
    case "granted":
      return {
        result: "granted",
        isAuthoritative: answer.isAuthoritative === true,
      };
    case "claimed":
      return {
        result: "claimed",
        outcome: OUTCOMES.includes(answer.outcome) ? answer.outcome : "unknown",
      };
    case "unknown":
    case "refused":
      return { result: answer.result, reason: String(answer.reason) };
    default:
      return { result: "refused", reason: "The answer has an unknown result" };
  }
}
