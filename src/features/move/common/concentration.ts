/**
 * Concentrates a small share of calls on few instances. A share of 0.02 spread over all new
 * instances would give each a fiftieth of its final load and hide failures that occur only under
 * load. A small share is therefore sent in bursts to two instances of one failure domain at a
 * time, at the load per instance that they will have at share 1.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";
import type { Move } from "../../../world/common/move.ts";
import { stepDuration } from "./move_schedule.ts";

/** From this share on, every failure domain sends calls to the new version in each cycle. */
const STEADY_SHARE = 0.25;
/** The load of an instance, relative to its load at share 1, from which no bursts are needed. */
const STEADY_LOAD = 0.7;
/** Below this share only two failure domains are used, enough to tell a bad host from a bad version. */
const ALL_DOMAINS_SHARE = 0.1;
const SMALL_SHARE_DOMAINS = 2;
/**
 * The minimum number of instances per burst. With one, a partition that contains a single failure
 * domain has evidence from a single host, which is never sufficient, and keeps sending calls to a
 * bad version.
 */
const BURST_INSTANCES = 2;
/** With longer cycles, a step has too few bursts to compare hosts. */
const MAXIMUM_CYCLE_MS: Milliseconds = 10_000;
const MINIMUM_CYCLE_MS: Milliseconds = 2_000;
const CYCLES_PER_STEP = 4;

export interface ConcentrationInput {
  readonly share: number;
  readonly now: Milliseconds;
  readonly ownDomain: FailureDomainName;
  /**
   * Reachable failure domains that have instances of the new version. A domain that is cut off runs
   * its own cycle, and waiting for its bursts would leave this side without evidence.
   */
  readonly candidateDomains: readonly FailureDomainName[];
  /** The number of instances of the new version in this daemon's failure domain. */
  readonly localInstances: number;
}

export interface Concentration {
  readonly candidateShare: number;
  readonly candidateInstances: number;
}

const NO_CALLS: Concentration = { candidateShare: 0, candidateInstances: 0 };

/** The fraction of calls and the number of instances for the new version at this daemon now. */
export function planConcentration(
  move: Move,
  input: ConcentrationInput,
): Concentration {
  const { share, localInstances } = input;
  if (share >= 1) {
    return { candidateShare: 1, candidateInstances: Infinity };
  }
  if (share >= STEADY_SHARE) {
    return localInstances === 0
      ? { candidateShare: share, candidateInstances: Infinity }
      : planSteadyShare(move, input);
  }
  return localInstances === 0 ? NO_CALLS : planBurst(move, input);
}

/** Uses every failure domain in each cycle, in bursts if the load per instance would be low. */
function planSteadyShare(move: Move, input: ConcentrationInput): Concentration {
  const { share, localInstances, candidateDomains, ownDomain } = input;
  const instances = Math.min(
    localInstances,
    Math.max(BURST_INSTANCES, Math.ceil(share * localInstances)),
  );
  const burstFraction = share * localInstances / instances;
  if (burstFraction >= STEADY_LOAD) {
    return { candidateShare: share, candidateInstances: instances };
  }
  // The bursts of the domains are staggered to keep the load of the replaced version steady.
  const phaseOffset = candidateDomains.indexOf(ownDomain) /
    candidateDomains.length;
  const cyclePosition = cyclesSinceStart(move, input.now) + phaseOffset;
  return cyclePosition % 1 >= 1 - burstFraction
    ? {
      candidateShare: instances / localInstances,
      candidateInstances: instances,
    }
    : NO_CALLS;
}

function cyclesSinceStart(move: Move, now: Milliseconds): number {
  const cycle = Math.min(
    MAXIMUM_CYCLE_MS,
    Math.max(MINIMUM_CYCLE_MS, stepDuration(move) / CYCLES_PER_STEP),
  );
  return Math.max(0, now - move.startedAt) / cycle;
}

function planBurst(move: Move, input: ConcentrationInput): Concentration {
  const { share, localInstances, candidateDomains } = input;
  const cyclePosition = cyclesSinceStart(move, input.now);
  const rankedDomains = rankByRendezvous(move.identity, candidateDomains);
  const usedDomains = share < ALL_DOMAINS_SHARE
    ? rankedDomains.slice(0, SMALL_SHARE_DOMAINS)
    : rankedDomains;
  if (
    usedDomains[Math.floor(cyclePosition) % usedDomains.length] !==
      input.ownDomain
  ) {
    return NO_CALLS;
  }
  // In units of the load of one instance at share 1. Each domain has an equal part of all calls.
  const targetLoad = share * rankedDomains.length * localInstances;
  const instances = Math.min(
    localInstances,
    Math.max(BURST_INSTANCES, Math.ceil(targetLoad)),
  );
  const burstFraction = Math.min(1, targetLoad / instances);
  // The burst is at the end of the cycle, so that a version found bad in the first burst has
  // received no more than its share of the calls since the start.
  return cyclePosition % 1 >= 1 - burstFraction
    ? {
      candidateShare: instances / localInstances,
      candidateInstances: instances,
    }
    : NO_CALLS;
}
