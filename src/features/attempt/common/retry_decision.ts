/**
 * Whether a failed attempt is followed by another.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Outcome } from "../../../base/common/step_error.ts";
import type { CallClass } from "../../../world/common/route.ts";
import { MINIMUM_ATTEMPT_MS } from "./deadline.ts";

/** More attempts than this prolong an outage and seldom succeed. */
export const MAXIMUM_ATTEMPTS = 3;

export interface RetrySituation {
  readonly callClass: CallClass;
  /** Attempts made so far, at least 1. */
  readonly attempts: number;
  /** What is known of the latest attempt; an upstream's own 5xx answer counts as `unknown`. */
  readonly outcome: Outcome;
  readonly retryNever: boolean;
  readonly isBodyAvailable: boolean;
  readonly isCallerGone: boolean;
  readonly remaining: Milliseconds;
}

/** `permitted` still needs a place in the retry budget. */
export type RetryDecision =
  | "permitted"
  | "caller-gone"
  | "retry-never"
  | "attempt-limit"
  | "deadline"
  | "body-consumed"
  | "may-have-run";

export function decideRetry(situation: RetrySituation): RetryDecision {
  if (situation.isCallerGone) {
    return "caller-gone";
  }
  if (
    situation.callClass === "non-idempotent" && situation.outcome !== "not-run"
  ) {
    return "may-have-run";
  }
  if (situation.retryNever) {
    return "retry-never";
  }
  if (!situation.isBodyAvailable) {
    return "body-consumed";
  }
  if (situation.attempts >= MAXIMUM_ATTEMPTS) {
    return "attempt-limit";
  }
  return situation.remaining < MINIMUM_ATTEMPT_MS ? "deadline" : "permitted";
}

/**
 * Whether the layers above are told not to retry: this layer has retried, was told so itself,
 * or would have retried but for its budget. A layer that could not retry because of its call
 * class says nothing, since the class of the layer above may allow it.
 */
export function forbidsRetryAbove(
  attempts: number,
  retryNever: boolean,
  budgetRefused: boolean,
): boolean {
  return attempts > 1 || retryNever || budgetRefused;
}
