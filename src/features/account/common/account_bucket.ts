/**
 * A token bucket that may be overdrawn.
 *
 * Load pattern: calls are admitted on many hosts and reported later, so more may have been admitted than the
 * bucket contains. The debt is kept and repaid from the calls of the next seconds; a bucket that stops at zero
 * would forget it, and the account would exceed its limit by the same amount after each report.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";

export interface AccountBucket {
  /** Negative while more calls have been admitted than the limit allows. */
  readonly level: number;
  readonly updatedAt: Milliseconds;
}

export interface BucketSize {
  readonly requestsPerSecond: number;
  readonly capacity: number;
}

/** Adds the calls of the time since the last update. */
export function refillBucket(
  { level, updatedAt }: AccountBucket,
  { requestsPerSecond, capacity }: BucketSize,
  now: Milliseconds,
): AccountBucket {
  const elapsed = Math.max(0, now - updatedAt);
  const added = requestsPerSecond * elapsed / SECOND_MS;
  return {
    level: Math.min(capacity, level + added),
    updatedAt: Math.max(now, updatedAt),
  };
}

/** Removes calls; a negative number puts calls back that no instance has run. */
export function takeFromBucket(
  { level, updatedAt }: AccountBucket,
  calls: number,
): AccountBucket {
  return { level: level - calls, updatedAt };
}
