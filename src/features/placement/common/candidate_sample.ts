/**
 * Samples the candidate gates of a call in a large fleet (power of d choices).
 *
 * Load pattern: dozens of daemons choose among dozens of instances by load reports that are seconds
 * old, since broadcasting loads more often would cost more than the calls. All daemons see the same
 * idle instance and send their calls there until the next report, so it is overloaded while others
 * are idle (herding). Sampling a few gates for each call bounds the share of calls that one instance
 * gets, and the best of a few is nearly as good as the best of all.
 *
 * @module
 */

import type { RandomSource } from "../../../base/common/random_source.ts";
import type {
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";

/**
 * Services up to this size are not sampled: responses to a daemon's own calls report the loads of all
 * their gates several times a second.
 */
const MAXIMUM_UNSAMPLED_CANDIDATES = 16;
/** Number of gates sampled from the own failure domain, and again from all other domains together. */
const SAMPLES_PER_GROUP = 4;

export interface SampleOptions {
  readonly ownHost: HostName;
  readonly ownFailureDomain: FailureDomainName;
}

/** Samples the candidates of one call; a candidate on the own host is always included. */
export function sampleCandidates<
  T extends {
    readonly host: HostName;
    readonly failureDomain: FailureDomainName;
  },
>(
  candidates: readonly T[],
  { ownHost, ownFailureDomain }: SampleOptions,
  random: RandomSource,
): readonly T[] {
  if (candidates.length <= MAXIMUM_UNSAMPLED_CANDIDATES) {
    return candidates;
  }
  const own: T[] = [];
  const sameDomain: T[] = [];
  const otherDomains: T[] = [];
  for (const candidate of candidates) {
    if (candidate.host === ownHost) {
      own.push(candidate);
    } else if (candidate.failureDomain === ownFailureDomain) {
      sameDomain.push(candidate);
    } else {
      otherDomains.push(candidate);
    }
  }
  return [
    ...own,
    ...sampleWithoutReplacement(sameDomain, random),
    ...sampleWithoutReplacement(otherDomains, random),
  ];
}

/** Partial Fisher-Yates shuffle; reorders the list in place. */
function sampleWithoutReplacement<T>(
  list: T[],
  random: RandomSource,
): readonly T[] {
  const count = Math.min(SAMPLES_PER_GROUP, list.length);
  for (let index = 0; index < count; index += 1) {
    const other = index + random.nextInteger(list.length - index);
    [list[index], list[other]] = [list[other], list[index]];
  }
  return list.slice(0, count);
}
