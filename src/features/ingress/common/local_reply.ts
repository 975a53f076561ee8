/**
 * Responses that the ingress itself creates (local replies).
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface LocalReply {
  readonly status: number;
  /** One sentence for the log of the client. */
  readonly message: string;
  /** When the client may retry; only with 429 and 503. */
  readonly retryAfter?: Milliseconds;
}

/** Clients that retry sooner would mostly be refused again. */
const MINIMUM_RETRY_AFTER_MS: Milliseconds = 20;

/** A 503 guarantees that the call has not run and never will. */
export function createNotRunReply(
  message: string,
  retryAfter: Milliseconds,
): LocalReply {
  return {
    status: 503,
    message,
    retryAfter: Math.max(MINIMUM_RETRY_AFTER_MS, retryAfter),
  };
}

/** A 429 guarantees the same; the account has reached its limit until then. */
export function createLimitReply(retryAfter: Milliseconds): LocalReply {
  return {
    ...createNotRunReply("The account has reached its limit", retryAfter),
    status: 429,
  };
}

export function formatRetryAfter(retryAfter: Milliseconds): string {
  return (retryAfter / 1_000).toFixed(3);
}
