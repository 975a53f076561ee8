/**
 * What follows an outcome of a call at one gate.
 *
 * Load pattern: some gates are full, some instances fail part of their calls. A refusal by a gate
 * reaches no instance, so the next gate is asked at once; but when several have no place, the others
 * are full as well, and asking all of them multiplies the work of every daemon at the moment at which
 * it has most to do. A call that may have
 * run goes to another instance only when it may be repeated and the shared budget of repeats
 * allows it, so that repeats do not add load without bound where instances already fail.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RouteKind } from "../../../world/common/mesh_configuration.ts";
import {
  DEADLINE_EXCEEDED_REASON,
  type GateOutcome,
} from "../../gate/common/gate_call.ts";

export interface CourseState {
  readonly kind: RouteKind;
  /** Instances that the call was sent to, including that of the outcome. */
  readonly instancesReached: number;
  /** Gates that had no place for the call, including that of the outcome. */
  readonly fullGates: number;
  readonly maximumInstances: number;
  /** Whether an instance may have run the call, including that of the outcome. */
  readonly mayHaveRun: boolean;
  /** Whether another gate can be asked; not needed for the many calls that are answered. */
  readonly hasCandidate: () => boolean;
  readonly timeLeft: Milliseconds;
  readonly usualMilliseconds: Milliseconds;
}

export type NextStep =
  | { readonly type: "deliver" }
  /** Another gate is asked; `isRepeat` when an instance was already sent the call. */
  | { readonly type: "ask-next"; readonly isRepeat: boolean }
  | { readonly type: "refuse"; readonly retryAfter: Milliseconds }
  | { readonly type: "fail"; readonly status: 502 | 504 };

/** A repeat makes sense while this part of the usual time is left. */
const REPEAT_TIME_PART = 0.7;

/** The best gates by the loads that were told are asked first. */
const MAXIMUM_FULL_GATES = 3;

/** Whether a refusal says that the gate had no place in time, and not that it cannot serve at all. */
export function isFull(outcome: GateOutcome): boolean {
  return outcome.type === "refused" &&
    (outcome.reason === "full" || outcome.reason === "hopeless");
}

export function decideNextStep(
  outcome: GateOutcome,
  state: CourseState,
  takeRepeat: () => boolean,
): NextStep {
  switch (outcome.type) {
    case "answer":
      return outcome.status >= 500 && !outcome.wasNestedRefused &&
          mayRepeat(state, true) && takeRepeat()
        ? { type: "ask-next", isRepeat: true }
        : { type: "deliver" };
    case "failed":
      return mayRepeat(state, true) && takeRepeat()
        ? { type: "ask-next", isRepeat: true }
        : {
          type: "fail",
          // The gate takes the time that an offer was held up off the time left, so it ends a call earlier.
          status:
            outcome.reason === DEADLINE_EXCEEDED_REASON || state.timeLeft <= 0
              ? 504
              : 502,
        };
    case "refused":
      if (
        !outcome.reachedInstance && state.timeLeft > 0 &&
        state.fullGates < MAXIMUM_FULL_GATES && state.hasCandidate()
      ) {
        return { type: "ask-next", isRepeat: false };
      }
      if (outcome.reachedInstance && mayRepeat(state, false) && takeRepeat()) {
        return { type: "ask-next", isRepeat: true };
      }
      return state.mayHaveRun
        ? { type: "fail", status: state.timeLeft <= 0 ? 504 : 502 }
        : { type: "refuse", retryAfter: outcome.retryAfter };
  }
}

function mayRepeat(state: CourseState, outcomeMayHaveRun: boolean): boolean {
  return (!outcomeMayHaveRun || state.kind === "safe") &&
    (!state.mayHaveRun || state.kind === "safe") &&
    state.instancesReached < state.maximumInstances &&
    state.timeLeft > REPEAT_TIME_PART * state.usualMilliseconds &&
    state.hasCandidate();
}
