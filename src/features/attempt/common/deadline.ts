/**
 * The deadline of a call and the time limits that follow from it.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** The maximum time to open a connection. */
export const CONNECT_TIMEOUT_MS: Milliseconds = 250;

/** With less time left than this, an attempt would only add load. */
export const MINIMUM_ATTEMPT_MS: Milliseconds = 5;

const WHOLE_NUMBER = /^\d{1,12}$/;

/** The deadline of a call: the earlier of the route's limit and the caller's deadline header. */
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

/** The remaining time in whole milliseconds, never negative. */
export function computeRemaining(
  now: Milliseconds,
  deadlineAt: Milliseconds,
): Milliseconds {
  return Math.max(0, Math.floor(deadlineAt - now));
}

export function limitConnectTime(remaining: Milliseconds): Milliseconds {
  return Math.min(CONNECT_TIMEOUT_MS, remaining);
}
