/**
 * Decides the next step of a call after its outcome at one gate.
 *
 * Load pattern: some gates are full, some instances fail part of their calls. A refusal by a gate
 * reaches no instance, so the call is offered to the next gate immediately. But if several gates have no
 * capacity, the others are full as well, and offering the call to all of them multiplies the work of
 * every daemon under overload. A call that may have run is sent to another instance only if it is
 * retryable and the shared retry budget allows it, so that retries do not add unbounded load while
 * instances already fail.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RouteKind } from "../../../world/common/mesh_configuration.ts";
import {
  DEADLINE_EXCEEDED_REASON,
  type GateOutcome,
} from "../../gate/common/gate_call.ts";

export interface CallState {
  readonly kind: RouteKind;
  /** Number of instances that received the call, including that of the outcome. */
  readonly instancesReached: number;
  /** Number of gates that had no capacity for the call, including that of the outcome. */
  readonly fullGateCount: number;
  /** Whether the failure of the call would waste the work of its parent, and accounts share the gates. */
  readonly protectsParent?: boolean;
  readonly maximumInstances: number;
  /** Whether an instance may have run the call, including that of the outcome. */
  readonly mayHaveRun: boolean;
  /** Whether there is another gate. Evaluated lazily: most calls succeed and do not need it. */
  readonly hasCandidate: () => boolean;
  readonly timeLeft: Milliseconds;
  readonly meanServiceMilliseconds: Milliseconds;
}

export type NextStep =
  | { readonly type: "deliver" }
  /** Offers the call to another gate; `isRetry` if an instance already received it. */
  | { readonly type: "ask-next"; readonly isRetry: boolean }
  | { readonly type: "refuse"; readonly retryAfter: Milliseconds }
  | { readonly type: "fail"; readonly status: 502 | 504 };

/** A retry needs at least this fraction of the mean service time. */
const MINIMUM_RETRY_TIME_FRACTION = 0.7;

/** Gates with the lowest reported loads are tried first, so the others are probably full as well. */
const MAXIMUM_FULL_GATES = 3;
/**
 * A nested call is asked at more gates, since its parent fails with it. More than five serve hardly more of them
 * (`room_sharing_replay_test.ts`), and each offer costs two daemons work.
 */
const MAXIMUM_FULL_GATES_OF_NESTED = 5;

/** Whether the gate refused for lack of capacity in time, and not because it cannot serve at all. */
export function isCapacityRefusal(outcome: GateOutcome): boolean {
  return outcome.type === "refused" &&
    (outcome.reason === "full" || outcome.reason === "hopeless" ||
      outcome.reason === "above-share");
}

/** Whether the gate has no capacity for any call of the same urgency, whichever account makes it. */
export function isFullForAll(outcome: GateOutcome): boolean {
  return isCapacityRefusal(outcome) && outcome.type === "refused" &&
    outcome.reason !== "above-share";
}

export function decideNextStep(
  outcome: GateOutcome,
  state: CallState,
  takeRetry: () => boolean,
): NextStep {
  switch (outcome.type) {
    case "answer":
      return outcome.status >= 500 && !outcome.wasNestedRefused &&
          mayRetry(state, true) && takeRetry()
        ? { type: "ask-next", isRetry: true }
        : { type: "deliver" };
    case "failed":
      return mayRetry(state, true) && takeRetry()
        ? { type: "ask-next", isRetry: true }
        : {
          type: "fail",
          // The gate subtracts the transit delay of the offer from its time left, so it may end a call earlier.
          status:
            outcome.reason === DEADLINE_EXCEEDED_REASON || state.timeLeft <= 0
              ? 504
              : 502,
        };
    case "refused":
      if (
        !outcome.reachedInstance && outcome.reason !== "nested-refused" &&
        state.timeLeft > 0 &&
        state.fullGateCount < maximumFullGates(state) && state.hasCandidate()
      ) {
        return { type: "ask-next", isRetry: false };
      }
      if (outcome.reachedInstance && mayRetry(state, false) && takeRetry()) {
        return { type: "ask-next", isRetry: true };
      }
      return state.mayHaveRun
        ? { type: "fail", status: state.timeLeft <= 0 ? 504 : 502 }
        : { type: "refuse", retryAfter: outcome.retryAfter };
  }
}

function maximumFullGates({ protectsParent }: CallState): number {
  return protectsParent === true
    ? MAXIMUM_FULL_GATES_OF_NESTED
    : MAXIMUM_FULL_GATES;
}

function mayRetry(state: CallState, outcomeMayHaveRun: boolean): boolean {
  return (!outcomeMayHaveRun || state.kind === "safe") &&
    (!state.mayHaveRun || state.kind === "safe") &&
    state.instancesReached < state.maximumInstances &&
    state.timeLeft >
      MINIMUM_RETRY_TIME_FRACTION * state.meanServiceMilliseconds &&
    state.hasCandidate();
}
