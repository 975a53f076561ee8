/**
 * Decides how a daemon admits the calls of an account at the moment.
 *
 * Load pattern: granters become silent, accounts become limited, and a whole fleet restarts, each between two calls.
 * A daemon admits all calls while its granter responds and has not limited the account; otherwise a part by chance,
 * at the rate that it was granted, or at its share of the limit.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import type { AccountBucket } from "./account_bucket.ts";
import { chooseInitialCalls, computeFallbackRate } from "./fallback_share.ts";

/** A daemon may save up the calls of this time, since calls arrive at random. */
const SAVED_MS: Milliseconds = 500;
/** What a daemon has saved of its rate when its granter becomes silent: accounts that are not limited use less. */
const INITIAL_MS: Milliseconds = 250;
/** Below this rate a bucket would rarely contain a whole call when one arrives. */
const MINIMUM_BUCKET_RATE = 3;
/**
 * Until a daemon has run for this long, its granters may not be known. It has then saved its share from its start on,
 * since what all hosts have admitted so far counts together, not what one has.
 */
const STARTING_MS: Milliseconds = 3_000;

/** A restart of all daemons takes this time at least, in which no call is admitted. */
const RESTART_MS: Milliseconds = 1_000;

/** How calls are admitted: all, a part by chance, at the rate of the granter, or at the fallback share. */
export type PaceSource = "free" | "part" | "grant" | "fallback";

export interface Pace {
  readonly source: PaceSource;
  readonly requestsPerSecond: number;
}

export interface PaceSituation {
  readonly limit: AccountLimit;
  /** The number of hosts among which the limit is divided without a granter. */
  readonly hosts: number;
  /** Whether the granter responds. */
  readonly isInTouch: boolean;
  readonly isLimited: boolean;
  /** Calls per second that the granter allowed; 0 if that has expired. */
  readonly heldRate: number;
}

export function usesBucket(source: PaceSource): boolean {
  return source === "grant" || source === "fallback";
}

export function choosePace(
  { limit, hosts, isInTouch, isLimited, heldRate }: PaceSituation,
): Pace {
  if (isInTouch && !isLimited) {
    return { source: "free", requestsPerSecond: Infinity };
  }
  if (isInTouch && heldRate < MINIMUM_BUCKET_RATE) {
    return { source: "part", requestsPerSecond: heldRate };
  }
  return heldRate > 0 ? { source: "grant", requestsPerSecond: heldRate } : {
    source: "fallback",
    requestsPerSecond: computeFallbackRate(limit, hosts),
  };
}

function isStarting({ source }: Pace, uptime: Milliseconds): boolean {
  return source === "fallback" && uptime <= STARTING_MS;
}

/** Returns how many calls a daemon may save up at a pace. */
export function computeSavedCalls(pace: Pace, uptime: Milliseconds): number {
  const savedTime = isStarting(pace, uptime)
    ? Math.max(uptime, RESTART_MS)
    : SAVED_MS;
  return pace.requestsPerSecond * savedTime / SECOND_MS;
}

/** Returns the bucket with which a daemon begins to keep to a rate; `fraction` and `chance` are from 0 to 1. */
export function createPaceBucket(
  pace: Pace,
  { limit, hosts, isLimited, uptime, spent, fraction, chance, now }: {
    readonly limit: AccountLimit;
    readonly hosts: number;
    readonly isLimited: boolean;
    readonly uptime: Milliseconds;
    /** Calls that were admitted without a response of the granter, and that count as first calls. */
    readonly spent: number;
    readonly fraction: number;
    readonly chance: number;
    readonly now: Milliseconds;
  },
): AccountBucket {
  if (isLimited) {
    return { level: fraction, updatedAt: now };
  }
  const starting = isStarting(pace, uptime);
  const initial = chooseInitialCalls(limit, {
    hosts,
    isStarting: starting,
    fraction,
    chance,
  });
  const savedTime = starting
    ? Math.max(uptime, RESTART_MS)
    : pace.source === "grant"
    ? INITIAL_MS
    : 0;
  const saved = pace.requestsPerSecond * savedTime / SECOND_MS;
  return {
    level: Math.max(0, initial + saved - spent),
    // The share of the first second is there from the start, and not added again.
    updatedAt: starting ? now + Math.max(0, RESTART_MS - uptime) : now,
  };
}
