/**
 * Concentration of a small share on few instances. A share of 0.02 spread over all new instances
 * gives each a fiftieth of its final load, and a version that fails only under load looks good.
 * Therefore a small share is sent in bursts to one instance of one failure domain at a time, at
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
/** Below this share only two failure domains are used, enough to tell a bad host from a bad version. */
const WIDE_SHARE = 0.1;
const NARROW_DOMAINS = 2;
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
    return {
      candidateShare: share,
      candidateInstances: localInstances === 0
        ? Infinity
        : Math.ceil(share * localInstances),
    };
  }
  return localInstances === 0 ? NOTHING : planBurst(move, input);
}

function planBurst(move: Move, input: ConcentrationInput): Concentration {
  const { share, localInstances, candidateDomains } = input;
  const cycle = Math.min(
    LONGEST_CYCLE_MS,
    Math.max(SHORTEST_CYCLE_MS, stepDuration(move) / CYCLES_PER_STEP),
  );
  const position = Math.max(0, input.now - move.startedAt) / cycle;
  const order = rankByRendezvous(move.identity, candidateDomains);
  const used = share < WIDE_SHARE ? order.slice(0, NARROW_DOMAINS) : order;
  if (used[Math.floor(position) % used.length] !== input.ownDomain) {
    return NOTHING;
  }
  // Loads in units of one instance at share 1; a domain carries an equal part of all calls.
  const wanted = share * order.length * localInstances;
  const instances = Math.min(localInstances, Math.max(1, Math.ceil(wanted)));
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
