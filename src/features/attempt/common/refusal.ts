/**
 * Responses that the proxy itself generates if it has none from an upstream.
 *
 * @module
 */

import type { Outcome } from "../../../base/common/step_error.ts";

export type RefusalReason =
  | "unknown-customer"
  | "unknown-route"
  | "rate-limit"
  | "concurrency-limit"
  | "draining"
  | "too-many-calls"
  | "body-too-large"
  | "body-incomplete"
  | "idempotency-key-malformed"
  | "idempotency-key-claimed"
  | "idempotency-key-unknown"
  | "claim-unavailable"
  | "no-instance"
  | "all-busy"
  | "deadline"
  | "upstream-failed"
  | "upstream-unreachable"
  | "not-ready"
  | "internal-error";

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  "unknown-customer": 404,
  "unknown-route": 404,
  "rate-limit": 429,
  "concurrency-limit": 429,
  "draining": 503,
  "too-many-calls": 503,
  "body-too-large": 413,
  "body-incomplete": 400,
  "idempotency-key-malformed": 400,
  "idempotency-key-claimed": 409,
  "idempotency-key-unknown": 409,
  "claim-unavailable": 503,
  "no-instance": 503,
  "all-busy": 503,
  "deadline": 504,
  "upstream-failed": 502,
  "upstream-unreachable": 503,
  "not-ready": 503,
  "internal-error": 500,
};

export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  /** A human-readable sentence, sent to the caller. */
  readonly message: string;
  readonly retryNever?: boolean;
}

export function statusOfRefusal(reason: RefusalReason): number {
  return STATUS_BY_REASON[reason];
}

/** Creates the refusal of a call of which no byte was sent to an upstream. */
export function createNotRunRefusal(
  reason: RefusalReason,
  message: string,
): Refusal {
  return { reason, outcome: "not-run", message };
}
