/**
 * Parameters of the routing decisions. Measurements vary them; the daemon uses the defaults.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface RoutingPolicy {
  /** Number of instances sampled at random for each call; the least loaded of them is used. */
  readonly sampleSize: number;
  /** Slow start: a new or returning instance reaches its allowed concurrency after this time. */
  readonly slowStartMilliseconds: Milliseconds;
  /** Share of the slots that a daemon may use before it has seen an instance shed load. */
  readonly initialConcurrencyShare: number;
  /** Whether the concurrency is halved only once for the calls in flight at the same time. */
  readonly halvesOncePerRound: boolean;
  readonly ejection: EjectionPolicy;
}

export interface EjectionPolicy {
  /** Maximum share of a service's instances that may be ejected at the same time. */
  readonly maximumShare: number;
  /** An instance is an outlier if its failure rate exceeds that of its peers by this margin. */
  readonly failureRateMargin: number;
  /** Minimum number of recent calls for a failure rate to be used. */
  readonly minimumCalls: number;
  readonly baseDurationMilliseconds: Milliseconds;
  readonly maximumDurationMilliseconds: Milliseconds;
  /** After this time without an ejection, the duration starts at the base again. */
  readonly resetMilliseconds: Milliseconds;
}

export const DEFAULT_ROUTING_POLICY: RoutingPolicy = {
  sampleSize: 2,
  slowStartMilliseconds: 10_000,
  initialConcurrencyShare: 0.5,
  halvesOncePerRound: true,
  ejection: {
    maximumShare: 1 / 3,
    failureRateMargin: 0.3,
    minimumCalls: 5,
    baseDurationMilliseconds: 2_000,
    maximumDurationMilliseconds: 60_000,
    resetMilliseconds: 60_000,
  },
};
