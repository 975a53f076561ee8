/**
 * The gate to which a caller's daemon offers a call.
 *
 * Load pattern: instances of one service that differ in speed by a factor of two or more, some of
 * them cold or slowed down, at loads that change faster than news of them arrives. Sending each
 * call to the nearest or least busy instance makes it wait at slow ones. Here the gate with the
 * earliest expected end of the call is chosen, with the cost of leaving the host and the failure
 * domain and some randomness, so that daemons with the same news do not all choose the same gate.
 * An instance that fails a part of its calls is chosen by what its failures cost, and a host that is late
 * by itself by its delay.
 * A host whose heartbeat is overdue may be cut off or overloaded: until its link counts as lost, calls
 * go elsewhere where they can.
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
  /** Calls of this daemon that are under way there. */
  readonly outstanding: number;
  readonly isCold: boolean;
  /** Whether a heartbeat of its daemon is overdue. */
  readonly isSilent: boolean;
  /** How much longer calls there have taken than the load explains. */
  readonly hostDelay: Milliseconds;
}

export interface PlacementCall {
  readonly usualMilliseconds: Milliseconds;
  /** The time within which an answer is worth most. */
  readonly objectiveMilliseconds: Milliseconds;
  /** Of the request and its answer, as far as they are known. */
  readonly relayedBytes: number;
  readonly ownHost: HostName;
  readonly ownFailureDomain: FailureDomainName;
}

export interface PlacedCall<T extends GateCandidate> {
  readonly candidate: T;
  /** The time until the call is expected to start. */
  readonly wait: Milliseconds;
}

/**
 * A call leaves its failure domain when it gains more than this part of its objective, whatever its size:
 * a call with much time loses little by a slower answer.
 */
const OTHER_DOMAIN_COST_PART = 0.027;
/** Bytes between failure domains are dear: an upload of 60 kB leaves for most of its objective. */
const OTHER_DOMAIN_COST_PART_PER_BYTE = 1.33e-5;
/** A call to another host is handled by two daemons; a call stays when it gains less than this. */
const OTHER_HOST_COST_MS: Milliseconds = 15;
/** A failed call takes its whole objective for a repeat, and one that may not be repeated is lost. */
const FAILURE_COST_OBJECTIVES = 2;
/** A silent link counts as lost after about this; its calls then start again or are lost. */
const SILENT_COST_MS: Milliseconds = 1_000;
/** A cold instance takes about this many times as long. */
const COLD_FACTOR = 2;
/**
 * The part of the calls that goes to any free gate of the own failure domain. The speed of an instance
 * is known from its calls only: one that was slow, or has just joined, would otherwise get none.
 */
const EXPLORING_PART = 0.02;
/** Spread of the random part, relative to the usual time of the call. */
const RANDOM_PART = 0.1;
/** An instance near its limit tends to slow down. */
const CROWDED_PART = 0.75;
const CROWDED_COST = 0.5;

export function chooseGate<T extends GateCandidate>(
  candidates: readonly T[],
  call: PlacementCall,
  random: RandomSource,
): PlacedCall<T> | undefined {
  if (random.nextFraction() < EXPLORING_PART) {
    const free = candidates.filter((candidate) =>
      candidate.failureDomain === call.ownFailureDomain &&
      !candidate.isCold && !candidate.isSilent &&
      occupancy(candidate) < CROWDED_PART * candidate.load.limit
    );
    if (free.length > 0) {
      return { candidate: free[random.nextInteger(free.length)], wait: 0 };
    }
  }
  let best: PlacedCall<T> | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const wait = expectWaitAt(candidate, call);
    const cost = wait + expectService(candidate, call) +
      distanceCost(candidate, call) + candidate.hostDelay +
      (candidate.isSilent ? SILENT_COST_MS : 0) +
      candidate.load.failureRate * FAILURE_COST_OBJECTIVES *
        call.objectiveMilliseconds +
      random.nextFraction() * RANDOM_PART * call.usualMilliseconds;
    if (cost < bestCost) {
      best = { candidate, wait };
      bestCost = cost;
    }
  }
  return best;
}

function distanceCost(
  { host, failureDomain }: GateCandidate,
  call: PlacementCall,
): Milliseconds {
  if (host === call.ownHost) {
    return 0;
  }
  return failureDomain === call.ownFailureDomain
    ? OTHER_HOST_COST_MS
    : OTHER_HOST_COST_MS + call.objectiveMilliseconds *
        (OTHER_DOMAIN_COST_PART +
          OTHER_DOMAIN_COST_PART_PER_BYTE * call.relayedBytes);
}

function occupancy({ load, outstanding }: GateCandidate): number {
  return Math.max(load.running + load.waiting, outstanding);
}

function expectWaitAt(
  candidate: GateCandidate,
  call: PlacementCall,
): Milliseconds {
  const { load } = candidate;
  return estimateQueueWait({
    running: Math.min(occupancy(candidate), load.limit),
    ahead: Math.max(0, occupancy(candidate) - load.limit),
    limit: load.limit,
    meanMilliseconds: call.usualMilliseconds * load.relativeServiceTime,
  });
}

function expectService(
  candidate: GateCandidate,
  call: PlacementCall,
): Milliseconds {
  const { load, isCold } = candidate;
  const relativeServiceTime = isCold
    ? Math.max(load.relativeServiceTime, COLD_FACTOR)
    : load.relativeServiceTime;
  const crowding = Math.max(
    0,
    occupancy(candidate) / Math.max(1, load.limit) - CROWDED_PART,
  );
  return call.usualMilliseconds * relativeServiceTime *
    (1 + CROWDED_COST * crowding);
}
