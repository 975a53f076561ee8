/**
 * Selects the gate to which the caller's daemon offers a call.
 *
 * Load pattern: instances of one service differ in speed by a factor of two or more, some are cold or
 * degraded, and loads change faster than load reports arrive. Sending each call to the nearest or
 * least loaded instance makes it queue at slow ones. The gate with the lowest cost is chosen: the
 * expected time until the call completes, plus a penalty for leaving the host or the failure domain,
 * plus jitter, so that daemons with the same load reports do not all choose the same gate.
 * The failure rate of an instance and the measured delay of a host add to the cost.
 * A host whose heartbeat is overdue may be partitioned or overloaded: calls avoid it where they can
 * until its link counts as lost.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import { estimateQueueWait } from "../../gate/common/admission_decision.ts";
import type { GateLoadReport } from "../../gate/common/gate_call.ts";

export interface GateCandidate {
  readonly host: HostName;
  readonly failureDomain: FailureDomainName;
  readonly load: GateLoadReport;
  /** Calls of this daemon that are in flight at the gate. */
  readonly outstanding: number;
  readonly isCold: boolean;
  /** Whether its daemon has an overdue heartbeat or has not answered a probe. */
  readonly isUnresponsive: boolean;
  /** Delay of recent calls to the host that queueing and service time do not explain. */
  readonly hostDelay: Milliseconds;
  /**
   * How long work takes on the host relative to usual, as it is expected now; undefined if its instance does
   * not state it.
   */
  readonly currentServiceTime?: number | undefined;
  /** The age of the load report; 0 when absent. */
  readonly loadAge?: Milliseconds;
  /** Calls that this daemon has offered to the gate since the load was reported; 0 when absent. */
  readonly offeredSinceReport?: number;
}

export interface PlacementCall {
  readonly meanServiceMilliseconds: Milliseconds;
  /** The mean over all calls of the service, which determines how soon slots become free. */
  readonly serviceMeanMilliseconds?: Milliseconds;
  /** The part of the objective that is left; the whole when absent. */
  readonly objectiveLeft?: Milliseconds;
  /** Latency objective: the time within which a response has its full value. */
  readonly objectiveMilliseconds: Milliseconds;
  /** Size of the request and the expected response, as far as they are known. */
  readonly transferredBytes: number;
  readonly ownHost: HostName;
  readonly ownFailureDomain: FailureDomainName;
}

export interface GatePlacement<T extends GateCandidate> {
  readonly candidate: T;
  /** Expected queueing time before the call starts. */
  readonly expectedWait: Milliseconds;
}

/**
 * A call leaves its failure domain only for a gain of more than this fraction of its objective, plus the
 * cost of its bytes. The cost is relative because a slower response matters less with a long objective.
 */
const CROSS_DOMAIN_COST_FRACTION = 0.027;
/**
 * Traffic between failure domains is expensive: a 60 kB upload leaves its domain only for a gain of
 * most of its objective.
 */
const CROSS_DOMAIN_COST_FRACTION_PER_BYTE = 1.33e-5;
/** Minimum gain for leaving the host: a call to another host is processed by two daemons. */
const REMOTE_HOST_COST_MS: Milliseconds = 15;
/** A failed call spends its whole objective on the retry, and a call that must not be retried is lost. */
export const FAILURE_COST_IN_OBJECTIVES = 2;
/** An unresponsive link counts as lost after about this time; its calls are then retried or fail. */
export const UNRESPONSIVE_COST_MS: Milliseconds = 1_000;
/** Approximate service time of a cold instance, relative to the mean. */
export const COLD_RELATIVE_SERVICE_TIME = 2;
/**
 * Fraction of calls that go to a random gate of the own failure domain with spare capacity. Service
 * times are measured from calls only: an instance that was slow or has just joined would otherwise
 * get no calls and never be measured again.
 */
export const EXPLORATION_PROBABILITY = 0.02;
/** Range of the random cost, relative to the mean service time of the call. */
export const JITTER_FRACTION = 0.1;
/** Above this utilization of its limit, an instance tends to slow down. */
export const HIGH_UTILIZATION = 0.75;
export const HIGH_UTILIZATION_SLOWDOWN = 0.5;

export function chooseGate<T extends GateCandidate>(
  candidates: readonly T[],
  call: PlacementCall,
  random: RandomSource,
): GatePlacement<T> | undefined {
  if (random.nextFraction() < EXPLORATION_PROBABILITY) {
    const explorable = candidates.filter((candidate) =>
      candidate.failureDomain === call.ownFailureDomain &&
      !candidate.isCold && !candidate.isUnresponsive &&
      countOccupied(candidate) < HIGH_UTILIZATION * candidate.load.limit
    );
    if (explorable.length > 0) {
      return {
        candidate: explorable[random.nextInteger(explorable.length)],
        expectedWait: 0,
      };
    }
  }
  let best: GatePlacement<T> | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const expectedWait = estimateWait(candidate, call);
    const cost = expectedWait + estimateServiceTime(candidate, call) +
      computeDistanceCost(candidate, call) + candidate.hostDelay +
      (candidate.isUnresponsive ? UNRESPONSIVE_COST_MS : 0) +
      candidate.load.failureRate * FAILURE_COST_IN_OBJECTIVES *
        call.objectiveMilliseconds +
      random.nextFraction() * JITTER_FRACTION * call.meanServiceMilliseconds;
    if (cost < bestCost) {
      best = { candidate, expectedWait };
      bestCost = cost;
    }
  }
  return best;
}

export function computeDistanceCost(
  { host, failureDomain }: GateCandidate,
  call: PlacementCall,
): Milliseconds {
  if (host === call.ownHost) {
    return 0;
  }
  return failureDomain === call.ownFailureDomain
    ? REMOTE_HOST_COST_MS
    : REMOTE_HOST_COST_MS + call.objectiveMilliseconds *
        (CROSS_DOMAIN_COST_FRACTION +
          CROSS_DOMAIN_COST_FRACTION_PER_BYTE * call.transferredBytes);
}

function countOccupied({ load, outstanding }: GateCandidate): number {
  return Math.max(load.running + load.waiting, outstanding);
}

function estimateWait(
  candidate: GateCandidate,
  call: PlacementCall,
): Milliseconds {
  const { load } = candidate;
  return estimateQueueWait({
    running: Math.min(countOccupied(candidate), load.limit),
    ahead: Math.max(0, countOccupied(candidate) - load.limit),
    limit: load.limit,
    meanMilliseconds: call.meanServiceMilliseconds * load.relativeServiceTime,
  });
}

function estimateServiceTime(
  candidate: GateCandidate,
  call: PlacementCall,
): Milliseconds {
  const { load, isCold } = candidate;
  const relativeServiceTime = isCold
    ? Math.max(load.relativeServiceTime, COLD_RELATIVE_SERVICE_TIME)
    : load.relativeServiceTime;
  const excessUtilization = Math.max(
    0,
    countOccupied(candidate) / Math.max(1, load.limit) - HIGH_UTILIZATION,
  );
  return call.meanServiceMilliseconds * relativeServiceTime *
    (1 + HIGH_UTILIZATION_SLOWDOWN * excessUtilization);
}
