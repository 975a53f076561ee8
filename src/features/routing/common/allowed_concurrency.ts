/**
 * Limits how many calls this daemon has in flight at an instance (additive increase, multiplicative
 * decrease). Several daemons share the slots of an instance without coordination, so each adapts its
 * limit to the calls that the instance sheds.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

export interface ConcurrencyState {
  readonly allowed: number;
  /** Successes since the last change of `allowed`. */
  readonly successesSinceChange: number;
  readonly halvedAt: Milliseconds;
  /** When the slow start began; -Infinity without a slow start. */
  readonly slowStartBeganAt: Milliseconds;
}

export function createConcurrencyState(
  slots: number,
  slowStartBeganAt: Milliseconds,
  policy: RoutingPolicy,
): ConcurrencyState {
  const allowed = Math.max(
    1,
    Math.ceil(slots * policy.initialConcurrencyShare),
  );
  return {
    allowed,
    successesSinceChange: 0,
    halvedAt: -Infinity,
    slowStartBeganAt,
  };
}

/** The concurrency limit at `now`, at least 1 and at most the slots. */
export function computeLimit(
  state: ConcurrencyState,
  now: Milliseconds,
  { slots, policy }: { slots: number; policy: RoutingPolicy },
): number {
  const age = now - state.slowStartBeganAt;
  const slowStartLimit = policy.slowStartMilliseconds === 0
    ? slots
    : Math.ceil(slots * age / policy.slowStartMilliseconds);
  return Math.max(1, Math.min(state.allowed, slowStartLimit, slots));
}

export function recordSuccess(
  state: ConcurrencyState,
  slots: number,
): ConcurrencyState {
  const successes = state.successesSinceChange + 1;
  return successes < state.allowed
    ? { ...state, successesSinceChange: successes }
    : {
      ...state,
      successesSinceChange: 0,
      allowed: Math.min(slots, state.allowed + 1),
    };
}

/**
 * Halves the allowed concurrency. Calls that started before the last halving were sent under the old
 * limit and are ignored, since counting each of them would reduce the limit to 1.
 */
export function recordShed(
  state: ConcurrencyState,
  callStartedAt: Milliseconds,
  { now, policy }: { now: Milliseconds; policy: RoutingPolicy },
): ConcurrencyState {
  if (policy.halvesOncePerRound && callStartedAt <= state.halvedAt) {
    return state;
  }
  const allowed = Math.max(1, Math.floor(state.allowed / 2));
  return { ...state, allowed, successesSinceChange: 0, halvedAt: now };
}
