/**
 * What a daemon does with the calls that it reads while it stops.
 *
 * Load pattern: restarts in turn that overlap. Callers are moved away from a daemon that is not ready, unless
 * too few daemons of the failure domain are; then calls go on arriving until the process ends, and those under
 * way at that moment would be cut. So a stop has a moment after which calls are refused as not run, early
 * enough that every call taken before can end. Calls that the instance makes for a call at work
 * are taken as long as that call runs: refusing them would fail it.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { StopPhase } from "../../../base/common/stop_phase.ts";

/** How long each part of a stop lasts, from the moment at which the request to stop is read. */
export interface StopPlan {
  /** The gate takes calls of other daemons. */
  readonly acceptsOffersFor: Milliseconds;
  /** The ingress takes calls of its clients. */
  readonly acceptsCallsFor: Milliseconds;
  /** Calls under way are ended. */
  readonly endsCallsAfter: Milliseconds;
}

/** Callers are moved elsewhere after two readiness checks, one a second; the rest is for delays. */
const TAKES_CALLS_MS: Milliseconds = 2_800;
/** The least part of a stop that is left for the calls that were taken. */
const FINISHING_PART = 1 / 2;
/**
 * For this part of a stop the gate goes on taking calls of other daemons. Restarts in turn would otherwise take
 * a quarter of a service away; two thirds are left for the longest calls.
 */
const OFFERS_PART = 1 / 3;
/** The greatest part of the time to stop that a stall may have taken. */
const STALLED_PART = 1 / 2;
/** Time left for the end of the process. */
const EXIT_RESERVE_MS: Milliseconds = 500;

/**
 * `granted` is the time from the request to stop after which the platform ends the process by force, and
 * `readAfter` for how long the request may have waited in a process that was stalled.
 */
export function planStop(
  granted: Milliseconds,
  readAfter: Milliseconds,
): StopPlan {
  // A process that was stalled for longer has most likely got the request in the stall.
  const allowed = granted - Math.min(readAfter, STALLED_PART * granted);
  const takesCallsFor = Math.min(
    TAKES_CALLS_MS,
    (1 - FINISHING_PART) * allowed,
  );
  return {
    acceptsOffersFor: Math.min(takesCallsFor, OFFERS_PART * allowed),
    acceptsCallsFor: takesCallsFor,
    endsCallsAfter: Math.max(takesCallsFor, allowed - EXIT_RESERVE_MS),
  };
}

/** Whether a call that is read now is served; otherwise it is refused as not run. */
export function admitsCall(
  phase: StopPhase,
  { isNested }: { readonly isNested: boolean },
): boolean {
  return phase !== "finishing" || isNested;
}
