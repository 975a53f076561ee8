/**
 * The messages between claimants and owners.
 *
 * @module
 */

import type { CustomerName, HostName } from "../../../world/common/names.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { ClaimEnd, ClaimOutcome } from "./claim_table.ts";
import { type IdempotencyKey, parseIdempotencyKey } from "./idempotency_key.ts";

/** Asks an owner for a claim. */
export const CLAIM_KIND = "claim";
/** Asks a daemon of the home domain to claim at the owners. */
export const FORWARD_KIND = "claim-forward";
/** Tells an owner how a claim ended. */
export const END_KIND = "claim-end";
/** Asks a daemon of the home domain to tell the owners. */
export const FORWARD_END_KIND = "claim-forward-end";

/** One attempt to claim a key. The token tells it from other attempts with the same key. */
export interface ClaimAttempt {
  readonly customer: CustomerName;
  readonly key: IdempotencyKey;
  readonly token: string;
}

export interface ClaimMessage extends LinkMessage {
  readonly customer: CustomerName;
  readonly key: string;
  readonly token: string;
  /** The owners of the key in the view of the claimant; for `claim`. */
  readonly owners?: readonly HostName[];
  /** For `claim-end` and `claim-forward-end`. */
  readonly end?: ClaimEnd;
}

/**
 * What came of an attempt. `refused`: nothing is claimed at this owner, and the attempt may be
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
  more: Pick<ClaimMessage, "owners" | "end"> = {},
): ClaimMessage {
  return { kind, customer, key: key.text, token, ...more };
}

/** Reads the attempt of a message; undefined when it is not valid. */
export function decodeAttempt(message: LinkMessage): ClaimAttempt | undefined {
  const { customer, key: text, token } = message as ClaimMessage;
  const key = typeof text === "string" ? parseIdempotencyKey(text) : undefined;
  const isValid = key !== undefined && typeof customer === "string" &&
    typeof token === "string";
  return isValid ? { customer, key, token } : undefined;
}

export function decodeEnd(message: LinkMessage): ClaimEnd | undefined {
  const { end } = message as ClaimMessage;
  return end !== undefined && ENDS.includes(end) ? end : undefined;
}

/** Reads an answer. What is not valid counts as a refusal. */
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
      return { result: "refused", reason: "The answer is not valid" };
  }
}
