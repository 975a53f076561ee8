/**
 * Limits the rate of the requests to an instance to the one that it names in its responses.
 *
 * Load pattern: an instance names a limit far below the rate at which it gets requests, and the limit may
 * change with every response. All calls to the instance pass its gate, so a token bucket there keeps to the
 * limit for all callers, retries and hedges together. It starts empty, so that neither a limit that has just
 * been named nor a restarted daemon allows a burst.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** After an idle period, the requests of this time may start together. */
const BURST_MS: Milliseconds = 250;
/**
 * An instance that names less gets this many requests nevertheless, since only its responses tell when the
 * limit ends.
 */
const MINIMUM_PER_SECOND = 0.5;
/** Less than a token is missing by rounding only. */
const TOKEN_TOLERANCE = 1e-6;

export interface RequestRate {
  /** The limit in force, in requests per second. */
  readonly limit: number | undefined;
  setLimit(perSecond: number | undefined, now: Milliseconds): void;
  /** Counts a request to the instance. */
  record(now: Milliseconds): void;
  /** The time until this many requests may have started; 0 if they may start now. */
  timeUntil(requests: number, now: Milliseconds): Milliseconds;
}

export function createRequestRate(): RequestRate {
  let limit: number | undefined;
  let tokens = 0;
  let filledAt: Milliseconds = 0;

  function fill(now: Milliseconds): void {
    if (limit !== undefined) {
      const perMillisecond = limit / 1_000;
      const capacity = Math.max(1, BURST_MS * perMillisecond);
      tokens = Math.min(capacity, tokens + (now - filledAt) * perMillisecond);
    }
    filledAt = now;
  }

  return {
    get limit() {
      return limit;
    },
    setLimit(perSecond, now) {
      fill(now);
      if (limit === undefined) {
        tokens = 0;
      }
      limit = perSecond === undefined
        ? undefined
        : Math.max(MINIMUM_PER_SECOND, perSecond);
    },
    record(now) {
      fill(now);
      tokens -= 1;
    },
    timeUntil(requests, now) {
      if (limit === undefined) {
        return 0;
      }
      fill(now);
      const missing = requests - tokens;
      return missing <= TOKEN_TOLERANCE ? 0 : missing * 1_000 / limit;
    },
  };
}
