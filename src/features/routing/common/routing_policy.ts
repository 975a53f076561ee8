/**
 * The figures of the routing decisions. Measurements vary them; the daemon uses the defaults.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface RoutingPolicy {
  /** Instances drawn at random for each call, of which the least loaded is taken. */
  readonly drawnInstances: number;
  /** A new or returning instance reaches its allowed concurrency after this time. */
  readonly slowStartMilliseconds: Milliseconds;
  /** The first part of the slots that a daemon uses before it has seen load being shed. */
  readonly initialConcurrencyShare: number;
  /** Whether a further shed call of the same round leaves the concurrency as it is. */
  readonly isHalvedOncePerRound: boolean;
  readonly ejection: EjectionPolicy;
}

export interface EjectionPolicy {
  /** The part of a service's instances that may be ejected at any one time. */
  readonly maximumShare: number;
  /** An instance is an outlier when its failure rate exceeds that of its peers by this. */
  readonly rateMargin: number;
  /** Fewer recent calls than this say nothing about an instance. */
  readonly minimumCalls: number;
  readonly baseMilliseconds: Milliseconds;
  readonly capMilliseconds: Milliseconds;
  /** After this time without an ejection the duration starts from its base again. */
  readonly forgetMilliseconds: Milliseconds;
}

export const DEFAULT_ROUTING_POLICY: RoutingPolicy = {
  drawnInstances: 2,
  slowStartMilliseconds: 10_000,
  initialConcurrencyShare: 0.5,
  isHalvedOncePerRound: true,
  ejection: {
    maximumShare: 1 / 3,
    rateMargin: 0.3,
    minimumCalls: 5,
    baseMilliseconds: 2_000,
    capMilliseconds: 60_000,
    forgetMilliseconds: 60_000,
  },
};
