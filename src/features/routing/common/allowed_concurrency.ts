/**
 * How many calls this daemon may have in flight at an instance. Several daemons share the
 * slots of an instance without knowing of each other, so each learns its part from shed load.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RoutingPolicy } from "./routing_policy.ts";

export interface ConcurrencyState {
  readonly allowed: number;
  /** Successes since the last change of `allowed`. */
  readonly successes: number;
  readonly halvedAt: Milliseconds;
  /** When the slow start began; -Infinity for an instance without one. */
  readonly rampStartedAt: Milliseconds;
}

export function startConcurrency(
  slots: number,
  rampStartedAt: Milliseconds,
  policy: RoutingPolicy,
): ConcurrencyState {
  const allowed = Math.max(
    1,
    Math.ceil(slots * policy.initialConcurrencyShare),
  );
  return { allowed, successes: 0, halvedAt: -Infinity, rampStartedAt };
}

/** The allowed concurrency at this instant, at least 1 and at most the slots. */
export function limitOf(
  state: ConcurrencyState,
  now: Milliseconds,
  { slots, policy }: { slots: number; policy: RoutingPolicy },
): number {
  const age = now - state.rampStartedAt;
  const ramp = policy.slowStartMilliseconds === 0
    ? slots
    : Math.ceil(slots * age / policy.slowStartMilliseconds);
  return Math.max(1, Math.min(state.allowed, ramp, slots));
}

export function recordSuccess(
  state: ConcurrencyState,
  slots: number,
): ConcurrencyState {
  const successes = state.successes + 1;
  return successes < state.allowed ? { ...state, successes } : {
    ...state,
    successes: 0,
    allowed: Math.min(slots, state.allowed + 1),
  };
}

/**
 * Halves the allowed concurrency. Calls that began before the last halving met the old limit
 * and say nothing about the new one; counting each of them drives the limit to 1.
 */
export function recordShed(
  state: ConcurrencyState,
  callStartedAt: Milliseconds,
  { now, policy }: { now: Milliseconds; policy: RoutingPolicy },
): ConcurrencyState {
  if (policy.isHalvedOncePerRound && callStartedAt <= state.halvedAt) {
    return state;
  }
  const allowed = Math.max(1, Math.floor(state.allowed / 2));
  return { ...state, allowed, successes: 0, halvedAt: now };
}
