/**
 * Delays between tries. Full jitter spreads the tries of many processes that fail together.
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

/** A uniform delay between 0 and the exponential limit of the given try, counted from 0. */
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
