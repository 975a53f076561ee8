/**
 * Plans a graceful stop: how long new calls are accepted, and when the remaining ones are terminated.
 *
 * Load pattern: rolling restarts that overlap. Clients are moved away from a daemon that is not ready,
 * unless too few daemons of the failure domain are ready; then calls keep arriving until the process
 * exits, and those in flight at that time would be cut off. So from some point of a stop on, calls are
 * refused as not run, early enough that calls accepted before usually complete. Nested calls of the instance
 * are accepted for longer, since refusing them would fail their parent call, but late in a stop only if their
 * deadline passes before the remaining calls are terminated: then a stop never breaks them off.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { StopPhase } from "../../../base/common/stop_phase.ts";
import { usuallyEndsWithin } from "../../gate/common/admission_decision.ts";

/** Durations of the phases of a stop, from the time at which the stop request is read. */
export interface StopPlan {
  /** How long the gate accepts offers of other daemons. */
  readonly acceptsOffersFor: Milliseconds;
  /** How long the ingress accepts calls of its clients. */
  readonly acceptsCallsFor: Milliseconds;
  /** When calls in flight are terminated. */
  readonly endsCallsAfter: Milliseconds;
}

/**
 * From the stop request, whenever it is read: clients are moved elsewhere after two readiness checks, one per second, and
 * calls sent more than 3 s after it must not be terminated. The rest allows for delays.
 */
const ACCEPT_CALLS_MS: Milliseconds = 2_800;
/** Minimum fraction of a stop that is left for accepted calls to complete. */
const MINIMUM_FINISHING_FRACTION = 1 / 2;
/**
 * Fraction of a stop during which the gate still accepts offers of other daemons. Rolling restarts would
 * otherwise remove a quarter of a service's capacity; two thirds are left for the longest calls.
 */
const ACCEPT_OFFERS_FRACTION = 1 / 3;
/** Maximum fraction of the grace period that a stall is assumed to have used. */
const MAXIMUM_STALL_FRACTION = 1 / 2;
/** Time reserved for the exit of the process. */
const EXIT_RESERVE_MS: Milliseconds = 500;

/**
 * `gracePeriod` is the time from the stop request until the platform kills the process. `readDelay` is how
 * long the request may have waited while the process was stalled.
 */
export function planStop(
  gracePeriod: Milliseconds,
  readDelay: Milliseconds,
): StopPlan {
  // A process that was stalled for longer most likely received the request during the stall.
  const delay = Math.min(readDelay, MAXIMUM_STALL_FRACTION * gracePeriod);
  const timeLeft = gracePeriod - delay;
  const acceptsCallsFor = Math.max(
    0,
    Math.min(
      ACCEPT_CALLS_MS - delay,
      (1 - MINIMUM_FINISHING_FRACTION) * timeLeft,
    ),
  );
  return {
    acceptsOffersFor: Math.min(
      acceptsCallsFor,
      ACCEPT_OFFERS_FRACTION * timeLeft,
    ),
    acceptsCallsFor,
    endsCallsAfter: Math.max(acceptsCallsFor, timeLeft - EXIT_RESERVE_MS),
  };
}

export interface CallDuration {
  readonly meanServiceMilliseconds: Milliseconds;
  /** The time until the deadline of the call. */
  readonly timeLeft: Milliseconds;
}

/**
 * Whether a call is served, with the time until the remaining calls are terminated. Another host can serve a call that is
 * refused as not run, but not one that may have run when it is terminated.
 */
export function canEndBeforeStop(
  phase: StopPhase,
  { meanServiceMilliseconds, timeLeft }: CallDuration,
  timeUntilStopped: Milliseconds,
): boolean {
  return phase === "finishing"
    ? timeLeft <= timeUntilStopped
    : usuallyEndsWithin(timeUntilStopped, meanServiceMilliseconds);
}

/** Whether a call that is read in this phase is served; otherwise it is refused as not run. */
export function admitsCall(
  phase: StopPhase,
  { isNested }: { readonly isNested: boolean },
): boolean {
  return phase !== "finishing" || isNested;
}
