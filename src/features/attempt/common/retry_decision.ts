/**
 * Decides whether a failed attempt is retried.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Outcome } from "../../../base/common/step_error.ts";
import type { CallClass } from "../../../world/common/route.ts";
import { MINIMUM_ATTEMPT_MS } from "./deadline.ts";

/** More attempts prolong an outage and seldom succeed. */
export const MAXIMUM_ATTEMPTS = 3;

export interface RetrySituation {
  readonly callClass: CallClass;
  /** Attempts made so far, at least 1. */
  readonly attempts: number;
  /** The outcome of the latest attempt; a 5xx response of the upstream itself counts as `unknown`. */
  readonly outcome: Outcome;
  readonly retryNever: boolean;
  readonly isBodyAvailable: boolean;
  readonly isCallerGone: boolean;
  readonly remaining: Milliseconds;
}

/** `permitted` is still subject to the retry budget. */
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
 * Whether the response forbids the callers to retry: this proxy has retried, a response of the
 * upstream forbade retries, or the retry budget prevented a retry. A proxy that did not retry because
 * of the call class does not forbid retries, since the caller's call class may allow them.
 */
export function forbidsCallerRetries(
  attempts: number,
  retryNever: boolean,
  budgetRefused: boolean,
): boolean {
  return attempts > 1 || retryNever || budgetRefused;
}
