/**
 * The rate limit of an instance as daemons announce it to each other, and which changes are announced.
 *
 * Load pattern: an instance names another limit in each of hundreds of responses per second. Other daemons
 * need it only to give it back to a restarted daemon, so small and frequent changes are not sent.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface NamedRateLimit {
  /** The identity and the start of the instance that named the limit. */
  readonly instance: string;
  readonly startedAt: Milliseconds;
  readonly perSecond: number | undefined;
}

const SIGNIFICANT_CHANGE = 0.1;
const MINIMUM_INTERVAL_MS: Milliseconds = 500;

export interface RateLimitAnnouncements {
  /** Returns whether to announce this limit to other daemons now; if so, it counts as announced. */
  isDue(limit: NamedRateLimit, now: Milliseconds): boolean;
}

export function createRateLimitAnnouncements(): RateLimitAnnouncements {
  let announced: NamedRateLimit | undefined;
  let announcedAt: Milliseconds = -Infinity;
  return {
    isDue(limit, now) {
      if (
        now - announcedAt < MINIMUM_INTERVAL_MS ||
        !isSignificant(announced, limit)
      ) {
        return false;
      }
      announced = limit;
      announcedAt = now;
      return true;
    },
  };
}

function isSignificant(
  announced: NamedRateLimit | undefined,
  limit: NamedRateLimit,
): boolean {
  const isSameInstance = announced?.instance === limit.instance &&
    announced.startedAt === limit.startedAt;
  const before = isSameInstance ? announced.perSecond : undefined;
  if (before === undefined || limit.perSecond === undefined) {
    return before !== limit.perSecond;
  }
  return Math.abs(limit.perSecond - before) > SIGNIFICANT_CHANGE * before;
}
