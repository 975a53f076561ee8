/**
 * A token bucket whose rate is the sum of an own and a leased rate.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";

/** The capacity of a bucket, as seconds of its rate. */
export const BURST_SECONDS = 1;

export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAt: Milliseconds;
}

/** Rates in tokens per second since the bucket's last update. */
export interface BucketRates {
  readonly own: number;
  readonly leased: number;
  readonly leasedUntil: Milliseconds;
}

/**
 * Adds the tokens for the time since the last update. A bucket starts empty, so the number of
 * tokens taken never exceeds the rate integrated over time.
 */
export function refillBucket(
  bucket: TokenBucket,
  rates: BucketRates,
  now: Milliseconds,
): TokenBucket {
  if (now <= bucket.updatedAt) {
    return bucket;
  }
  const ownTime = now - bucket.updatedAt;
  const leasedTime = Math.max(
    0,
    Math.min(now, rates.leasedUntil) - bucket.updatedAt,
  );
  const added = (rates.own * ownTime + rates.leased * leasedTime) / SECOND_MS;
  const rate = rates.own + (now < rates.leasedUntil ? rates.leased : 0);
  const capacity = Math.max(1, rate * BURST_SECONDS);
  return { tokens: Math.min(capacity, bucket.tokens + added), updatedAt: now };
}
