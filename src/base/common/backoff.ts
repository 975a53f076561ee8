/**
 * Exponential backoff with full jitter, which spreads the retries of many processes that fail at the same time.
 *
 * @module
 */

import type { Milliseconds } from "./milliseconds.ts";
import type { RandomSource } from "./random_source.ts";

export interface BackoffOptions {
  readonly baseMilliseconds: Milliseconds;
  readonly capMilliseconds: Milliseconds;
}

export const RECONNECT_BACKOFF: BackoffOptions = {
  baseMilliseconds: 100,
  capMilliseconds: 10_000,
};

/** Returns a uniformly distributed delay between 0 and the exponential limit of an attempt; the first attempt is 0. */
export function computeBackoff(
  attempt: number,
  random: RandomSource,
  options: BackoffOptions = RECONNECT_BACKOFF,
): Milliseconds {
  const limit = Math.min(
    options.capMilliseconds,
    options.baseMilliseconds * 2 ** attempt,
  );
  return random.nextFraction() * limit;
}
