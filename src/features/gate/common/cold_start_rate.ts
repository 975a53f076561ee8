/**
 * Limits the rate of the requests to an instance while it is cold.
 *
 * Load pattern: an instance becomes cold while it gets several times the requests that a cold one tolerates, and
 * crashes. All calls to the instance pass its gate, so the bound is held there, for all hosts together. It counts
 * the requests that have started in the last second, also those from before the instance became cold, which
 * a token bucket would not. When the cold time ends, the limit grows step by step: callers that have waited
 * would otherwise all come at once.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { ColdStartLimit } from "../../../world/common/mesh_configuration.ts";

const WINDOW_MS: Milliseconds = 1_000;
/** Spreads the requests: requests that are delayed on their way to the instance arrive together with later ones. */
const PART_WINDOW_MS: Milliseconds = 250;
const PARTS = WINDOW_MS / PART_WINDOW_MS;
/** The limit doubles in this time after the cold time. */
const RAMP_DOUBLING_MS: Milliseconds = 500;
/** The limit is 16 times that of a cold instance by then, which is more than instances serve when warm. */
const RAMP_MS: Milliseconds = 2_000;
/**
 * The limit of a cold instance while the configuration is not known. The process before this one may have used the
 * limit up, and a cold instance takes a few requests above its limit, whatever the limit is.
 */
const UNKNOWN_LIMIT_PER_SECOND = 4;

/**
 * The limit of an instance whose service times have doubled, relative to that of a cold one. It may only be
 * busy, with the calls of others that are cold, and a cold instance takes half more for the time of a heartbeat.
 */
const SLOW_FACTOR = 1.5;

/** `unknown` until a configuration has been read; undefined if the rate is not bounded. */
export type KnownColdStartLimit = ColdStartLimit | "unknown" | undefined;

export type ColdPhase = "warm" | "cold" | "ramping";

/**
 * Why an instance that has not reported to be cold is bounded until its next report: its service times have
 * doubled, or it gets calls again after an evacuation.
 */
export type HoldCause = "slow" | "restored";

export interface ColdStartRate {
  phase(now: Milliseconds): ColdPhase;
  /** Why the instance is bounded without a report that it is cold. */
  readonly heldFor: HoldCause | undefined;
  /** The requests per second that may start; undefined if they are not bounded. */
  limitAt(now: Milliseconds): number | undefined;
  /** Applies how long the instance stays cold by its own report; 0 if it is warm. */
  recordReport(coldFor: Milliseconds, now: Milliseconds): void;
  /** Forgets the instance before and applies the first report of this one. */
  handleNewInstance(coldFor: Milliseconds, now: Milliseconds): void;
  /** Bounds the instance until its next report. */
  holdUntilReport(cause: HoldCause): void;
  /** Counts a request to the instance. */
  record(now: Milliseconds): void;
  /** The time until this many requests may have started; 0 if they may start now. */
  timeUntil(requests: number, now: Milliseconds): Milliseconds;
}

export function createColdStartRate(
  readLimit: () => KnownColdStartLimit,
): ColdStartRate {
  /** When the requests of the last second started. */
  let starts: Milliseconds[] = [];
  let coldUntil: Milliseconds = -Infinity;
  let heldFor: HoldCause | undefined;

  function phase(now: Milliseconds): ColdPhase {
    if (readLimit() === undefined) {
      return "warm";
    }
    if (heldFor !== undefined || now < coldUntil) {
      return "cold";
    }
    return now < coldUntil + RAMP_MS ? "ramping" : "warm";
  }

  function limitAt(now: Milliseconds): number | undefined {
    const limit = readLimit();
    const current = phase(now);
    if (limit === undefined || current === "warm") {
      return undefined;
    }
    const cold = limit === "unknown"
      ? UNKNOWN_LIMIT_PER_SECOND
      : limit.requestsPerSecond * (heldFor === "slow" ? SLOW_FACTOR : 1);
    return current === "cold"
      ? cold
      : cold * 2 ** ((now - coldUntil) / RAMP_DOUBLING_MS);
  }

  function removeOldStarts(now: Milliseconds): void {
    const firstRecent = starts.findIndex((at) => at > now - WINDOW_MS);
    if (firstRecent !== 0) {
      starts = firstRecent < 0 ? [] : starts.slice(firstRecent);
    }
  }

  /** The time until fewer than `maximum` requests have started in the last `window`. */
  function timeUntilBelow(
    maximum: number,
    window: Milliseconds,
    now: Milliseconds,
  ): Milliseconds {
    return starts.length < maximum
      ? 0
      : Math.max(0, starts[starts.length - maximum] + window - now);
  }

  function recordReport(coldFor: Milliseconds, now: Milliseconds): void {
    if (coldFor > 0) {
      coldUntil = now + coldFor;
    } else if (heldFor === "restored" || now < coldUntil) {
      coldUntil = now;
    }
    heldFor = undefined;
  }

  return {
    phase,
    get heldFor() {
      return heldFor;
    },
    limitAt,
    recordReport,
    handleNewInstance(coldFor, now) {
      starts = [];
      coldUntil = -Infinity;
      heldFor = undefined;
      recordReport(coldFor, now);
    },
    holdUntilReport(cause) {
      heldFor = cause;
    },
    record(now) {
      if (readLimit() !== undefined) {
        removeOldStarts(now);
        starts.push(now);
      }
    },
    timeUntil(requests, now) {
      const limit = limitAt(now);
      if (limit === undefined) {
        return 0;
      }
      removeOldStarts(now);
      const inWindow = Math.max(1, Math.floor(limit));
      const inPart = Math.ceil(inWindow / PARTS);
      const wait = Math.max(
        timeUntilBelow(inWindow, WINDOW_MS, now),
        timeUntilBelow(inPart, PART_WINDOW_MS, now),
      );
      const inLastPart =
        starts.filter((at) => at > now - PART_WINDOW_MS).length;
      const free = Math.min(inWindow - starts.length, inPart - inLastPart);
      const later = Math.max(0, requests - Math.max(1, free));
      return wait + later * WINDOW_MS / inWindow;
    },
  };
}
