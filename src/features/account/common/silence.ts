/**
 * Decides when a granter counts as silent for the calls of one account on one host.
 *
 * Load pattern: a granter is cut off, and an account asks several times its usual a moment later. Each host has few
 * calls, all of them free until the cut is noticed, and together they exceed the limit. A host whose calls since a
 * report without a response are more than its rate explains takes the granter for silent earlier, and does not begin
 * its rate with further calls. At the usual demand, a host rarely has a second call in this time.
 *
 * @module
 */

import {
  type Milliseconds,
  SECOND_MS,
} from "../../../base/common/milliseconds.ts";

/** A report without a response for this long shows that the granter is silent. */
export const SILENT_MS: Milliseconds = 500;
/** The same for a host with more calls than explained, if responses usually come at once. */
const RISEN_SILENT_MS: Milliseconds = 50;
/** Slow responses of granters that are short of processor time are waited for this many times as long. */
const RESPONSE_FACTOR = 3;
/** Calls of this many times the rate are explained, since calls arrive at random. */
const EXPLAINED_FACTOR = 2.5;
/** Calls wait for 50 to 200 ms until they are reported. */
const REPORTED_AFTER_MS: Milliseconds = 125;

export interface UnansweredCalls {
  /** Calls that were admitted and whose report has no response. */
  readonly admitted: number;
  /** For how long the granter has not responded. */
  readonly duration: Milliseconds;
  /** Calls per second that this daemon may use by itself. */
  readonly requestsPerSecond: number;
  /** Whether a granter has ever responded. */
  readonly isGranterHeard: boolean;
  /** How long responses of granters took lately. */
  readonly responseTime: Milliseconds;
}

/** Returns whether there are more calls than the rate of this daemon explains. */
function isDemandRisen(calls: UnansweredCalls): boolean {
  const explained = EXPLAINED_FACTOR * calls.requestsPerSecond *
    (calls.duration + REPORTED_AFTER_MS) / SECOND_MS;
  return countTellingCalls(calls) > explained;
}

/** The first call of a daemon that no granter has ever told anything shows nothing. */
function countTellingCalls(
  { admitted, isGranterHeard }: UnansweredCalls,
): number {
  return isGranterHeard ? admitted : admitted - 1;
}

/** Returns how many calls that were admitted freely count as the first calls at a rate. */
export function countSpentCalls(calls: UnansweredCalls): number {
  return isDemandRisen(calls) ? countTellingCalls(calls) : 0;
}

/** Returns whether the granter counts as silent for an account. */
export function isGranterSilent(calls: UnansweredCalls): boolean {
  const patience = Math.max(
    RISEN_SILENT_MS,
    calls.responseTime * RESPONSE_FACTOR,
  );
  return calls.duration >= SILENT_MS ||
    (calls.duration >= patience && isDemandRisen(calls));
}
