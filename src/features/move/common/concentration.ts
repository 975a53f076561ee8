/**
 * Concentration of a small share on few instances. A share of 0.02 spread over all new instances
 * gives each a fiftieth of its final load, and a version that fails only under load looks good.
 * Therefore a small share is sent in bursts to two instances of one failure domain at a time, at
 * the load per instance that it will have at share 1.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";
import type { Move } from "../../../world/common/move.ts";
import { stepDuration } from "./move_schedule.ts";

/** From this share on all failure domains receive calls steadily. */
const STEADY_SHARE = 0.25;
/** The load of an instance, in units of that at share 1, from which no bursts are needed. */
const STEADY_LOAD = 0.7;
/** Below this share only two failure domains are used, enough to tell a bad host from a bad version. */
const WIDE_SHARE = 0.1;
const NARROW_DOMAINS = 2;
/**
 * Instances of a burst. With one, a side of a partition with a single failure domain has evidence
 * from a single host, which is never sufficient, and keeps sending to a bad version.
 */
const BURST_INSTANCES = 2;
/** A longer cycle would leave a step with too few bursts to compare hosts. */
const LONGEST_CYCLE_MS: Milliseconds = 10_000;
const SHORTEST_CYCLE_MS: Milliseconds = 2_000;
const CYCLES_PER_STEP = 4;

export interface ConcentrationInput {
  readonly share: number;
  readonly now: Milliseconds;
  readonly ownDomain: FailureDomainName;
  /**
   * Reachable failure domains that have instances of the new version. A domain that is cut off
   * takes its turns by itself; waiting for its bursts would leave this side without evidence.
   */
  readonly candidateDomains: readonly FailureDomainName[];
  /** Instances of the new version in the own failure domain. */
  readonly localInstances: number;
}

export interface Concentration {
  readonly candidateShare: number;
  readonly candidateInstances: number;
}

const NOTHING: Concentration = { candidateShare: 0, candidateInstances: 0 };

/** The part of calls and the number of instances for the new version at this daemon now. */
export function concentrate(
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
  return localInstances === 0 ? NOTHING : planBurst(move, input);
}

/** All failure domains at once, in bursts when the instances would have a low load. */
function planSteadyShare(move: Move, input: ConcentrationInput): Concentration {
  const { share, localInstances, candidateDomains, ownDomain } = input;
  const instances = Math.min(
    localInstances,
    Math.max(BURST_INSTANCES, Math.ceil(share * localInstances)),
  );
  const burst = share * localInstances / instances;
  if (burst >= STEADY_LOAD) {
    return { candidateShare: share, candidateInstances: instances };
  }
  // The domains take turns, so that the replaced version keeps a steady load.
  const turn = candidateDomains.indexOf(ownDomain) / candidateDomains.length;
  const position = cyclesSinceStart(move, input.now) + turn;
  return position % 1 >= 1 - burst
    ? {
      candidateShare: instances / localInstances,
      candidateInstances: instances,
    }
    : NOTHING;
}

function cyclesSinceStart(move: Move, now: Milliseconds): number {
  const cycle = Math.min(
    LONGEST_CYCLE_MS,
    Math.max(SHORTEST_CYCLE_MS, stepDuration(move) / CYCLES_PER_STEP),
  );
  return Math.max(0, now - move.startedAt) / cycle;
}

function planBurst(move: Move, input: ConcentrationInput): Concentration {
  const { share, localInstances, candidateDomains } = input;
  const position = cyclesSinceStart(move, input.now);
  const order = rankByRendezvous(move.identity, candidateDomains);
  const used = share < WIDE_SHARE ? order.slice(0, NARROW_DOMAINS) : order;
  if (used[Math.floor(position) % used.length] !== input.ownDomain) {
    return NOTHING;
  }
  // Loads in units of one instance at share 1; a domain carries an equal part of all calls.
  const wanted = share * order.length * localInstances;
  const instances = Math.min(
    localInstances,
    Math.max(BURST_INSTANCES, Math.ceil(wanted)),
  );
  const burst = Math.min(1, wanted / instances);
  // The burst ends the cycle, so that a version found bad in the first burst has received no
  // more than its share of the calls since the start.
  return position % 1 >= 1 - burst
    ? {
      candidateShare: instances / localInstances,
      candidateInstances: instances,
    }
    : NOTHING;
}
