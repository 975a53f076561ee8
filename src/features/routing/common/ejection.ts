/**
 * Outlier ejection of instances whose failure rate is well above that of their peers.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { EjectionPolicy } from "./routing_policy.ts";

/** Recent calls lose half of their weight in this time. */
export const FAILURE_RATE_HALF_LIFE_MS: Milliseconds = 5_000;

export interface HealthState {
  /** Exponentially decayed number of recent calls, as of `decayedAt`. */
  readonly calls: number;
  readonly failures: number;
  readonly decayedAt: Milliseconds;
  readonly ejectedUntil: Milliseconds;
  /** Until then the instance is used only if no other has capacity. */
  readonly suspectUntil: Milliseconds;
  /** Consecutive ejections; each doubles the duration. */
  readonly consecutiveEjections: number;
  /** Whether the last attempt could not connect. */
  readonly isUnreachable: boolean;
}

export const HEALTHY: HealthState = {
  calls: 0,
  failures: 0,
  decayedAt: 0,
  ejectedUntil: -Infinity,
  suspectUntil: -Infinity,
  consecutiveEjections: 0,
  isUnreachable: false,
};

export type HealthSample = "success" | "failure" | "not-connected";

export function decayHealth(
  state: HealthState,
  now: Milliseconds,
): HealthState {
  const factor = 0.5 ** ((now - state.decayedAt) / FAILURE_RATE_HALF_LIFE_MS);
  return {
    ...state,
    calls: state.calls * factor,
    failures: state.failures * factor,
    decayedAt: now,
  };
}

export function recordHealth(
  state: HealthState,
  sample: HealthSample,
  now: Milliseconds,
): HealthState {
  const decayed = decayHealth(state, now);
  return {
    ...decayed,
    calls: decayed.calls + 1,
    failures: decayed.failures + (sample === "success" ? 0 : 1),
    isUnreachable: sample === "not-connected",
  };
}

export function isEjected(state: HealthState, now: Milliseconds): boolean {
  return now < state.ejectedUntil;
}

/** The failure rate over several instances; 0 without calls. */
export function computeFailureRate(states: readonly HealthState[]): number {
  let calls = 0;
  let failures = 0;
  for (const state of states) {
    calls += state.calls;
    failures += state.failures;
  }
  return calls === 0 ? 0 : failures / calls;
}

/**
 * Whether the instance fails well above its peers. An instance that accepts no connection is
 * an outlier at its first failure. Without enough calls to the peers there is no comparison: the first
 * instances of a bad version would otherwise be ejected before a move has evidence against the version.
 */
export function isOutlier(
  state: HealthState,
  peers: readonly HealthState[],
  policy: EjectionPolicy,
): boolean {
  if (state.isUnreachable) {
    return true;
  }
  const peerCalls = peers.reduce((sum, peer) => sum + peer.calls, 0);
  return state.calls >= policy.minimumCalls &&
    peerCalls >= policy.minimumCalls &&
    computeFailureRate([state]) >=
      computeFailureRate(peers) + policy.failureRateMargin;
}

/** Whether one more instance of the service may be ejected. */
export function mayEjectAnother(
  ejected: number,
  instances: number,
  policy: EjectionPolicy,
): boolean {
  return ejected + 1 <= Math.floor(instances * policy.maximumShare + 1e-9);
}

/** Ejects the instance for twice the previous duration and resets its counts. */
export function eject(
  state: HealthState,
  now: Milliseconds,
  policy: EjectionPolicy,
): HealthState {
  const isReset = now - state.ejectedUntil > policy.resetMilliseconds;
  const ejections = isReset ? 1 : state.consecutiveEjections + 1;
  const duration = Math.min(
    policy.maximumDurationMilliseconds,
    policy.baseDurationMilliseconds * 2 ** (ejections - 1),
  );
  return {
    ...HEALTHY,
    decayedAt: now,
    consecutiveEjections: ejections,
    ejectedUntil: now + duration,
  };
}

/** Marks an outlier that must not be ejected because too many other instances are. */
export function markSuspect(
  state: HealthState,
  now: Milliseconds,
  policy: EjectionPolicy,
): HealthState {
  return { ...state, suspectUntil: now + policy.baseDurationMilliseconds };
}
