/**
 * The answers that the ingress itself gives.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface OwnAnswer {
  readonly status: number;
  /** One sentence for the reader of the caller's log. */
  readonly message: string;
  /** When the caller may come back; only with 503. */
  readonly retryAfter?: Milliseconds;
}

/** Callers that come back sooner would mostly be refused again. */
const LEAST_RETRY_AFTER_MS: Milliseconds = 20;

/** A 503 promises that the call has not run and never will. */
export function refuseNotRun(
  message: string,
  retryAfter: Milliseconds,
): OwnAnswer {
  return {
    status: 503,
    message,
    retryAfter: Math.max(LEAST_RETRY_AFTER_MS, retryAfter),
  };
}

export function formatRetryAfter(retryAfter: Milliseconds): string {
  return (retryAfter / 1_000).toFixed(3);
}
