/**
 * The time that a call may take.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** A connection that is not open after this time is given up. */
export const CONNECT_TIMEOUT_MS: Milliseconds = 250;

/** An attempt with less time than this left would only add load. */
export const MINIMUM_ATTEMPT_MS: Milliseconds = 5;

const WHOLE_NUMBER = /^\d{1,12}$/;

/** The instant at which a call ends: the route's limit or the caller's, the earlier. */
export function computeDeadline(
  now: Milliseconds,
  routeLimit: Milliseconds,
  header: string | undefined,
): Milliseconds {
  const requested = header !== undefined && WHOLE_NUMBER.test(header)
    ? Number(header)
    : Infinity;
  return now + Math.min(routeLimit, requested);
}

/** The whole milliseconds left, never negative. */
export function computeRemaining(
  now: Milliseconds,
  deadlineAt: Milliseconds,
): Milliseconds {
  return Math.max(0, Math.floor(deadlineAt - now));
}

export function limitConnectTime(remaining: Milliseconds): Milliseconds {
  return Math.min(CONNECT_TIMEOUT_MS, remaining);
}
