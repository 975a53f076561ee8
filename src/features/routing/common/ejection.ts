/**
 * The ejection of instances that fail well above their peers.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { EjectionPolicy } from "./routing_policy.ts";

/** Recent calls lose half of their weight in this time. */
export const RATE_HALF_LIFE_MS: Milliseconds = 5_000;

export interface HealthState {
  /** Weights of recent calls, decayed to `decayedAt`. */
  readonly calls: number;
  readonly failures: number;
  readonly decayedAt: Milliseconds;
  readonly ejectedUntil: Milliseconds;
  /** Until then the instance is taken only when no other has room. */
  readonly suspectUntil: Milliseconds;
  /** Ejections in a row, for the exponential duration. */
  readonly ejections: number;
  /** The last attempt got no connection. */
  readonly isUnreachable: boolean;
}

export const HEALTHY: HealthState = {
  calls: 0,
  failures: 0,
  decayedAt: 0,
  ejectedUntil: -Infinity,
  suspectUntil: -Infinity,
  ejections: 0,
  isUnreachable: false,
};

export type HealthSample = "success" | "failure" | "not-connected";

export function decayHealth(
  state: HealthState,
  now: Milliseconds,
): HealthState {
  const factor = 0.5 ** ((now - state.decayedAt) / RATE_HALF_LIFE_MS);
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
export function rateOf(states: readonly HealthState[]): number {
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
 * an outlier at its first failure. Peers without calls are no measure: the first instances of
 * a bad version would be ejected before a move has the evidence against the version.
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
    rateOf([state]) >= rateOf(peers) + policy.rateMargin;
}

/** Whether one more instance of the service may be ejected. */
export function hasRoomForEjection(
  ejected: number,
  instances: number,
  policy: EjectionPolicy,
): boolean {
  return ejected + 1 <= Math.floor(instances * policy.maximumShare + 1e-9);
}

/** Ejects for twice the previous duration, and clears the counts for the time after it. */
export function eject(
  state: HealthState,
  now: Milliseconds,
  policy: EjectionPolicy,
): HealthState {
  const isForgotten = now - state.ejectedUntil > policy.forgetMilliseconds;
  const ejections = isForgotten ? 1 : state.ejections + 1;
  const duration = Math.min(
    policy.capMilliseconds,
    policy.baseMilliseconds * 2 ** (ejections - 1),
  );
  return {
    ...HEALTHY,
    decayedAt: now,
    ejections,
    ejectedUntil: now + duration,
  };
}

/** Marks an outlier that may not be ejected because too many others are. */
export function suspect(
  state: HealthState,
  now: Milliseconds,
  policy: EjectionPolicy,
): HealthState {
  return { ...state, suspectUntil: now + policy.baseMilliseconds };
}
