/**
 * Selects an instance from one group of instances.
 *
 * @module
 */

import type { RandomSource } from "../../../base/common/random_source.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";

/** The properties of an instance on which the selection depends. */
export interface InstanceLoad {
  readonly failureDomain: FailureDomainName;
  readonly inFlight: number;
  readonly limit: number;
  readonly isEjected: boolean;
  /** Whether it is an outlier that must not be ejected because too many other instances are. */
  readonly isSuspect: boolean;
}

export interface InstanceChoiceOptions {
  readonly failureDomain: FailureDomainName;
  readonly random: RandomSource;
  readonly sampleSize: number;
}

/**
 * Selects from the first tier with capacity: the own failure domain, then the others; suspect
 * instances come last. Undefined if no instance has capacity.
 */
export function chooseInstance<T extends InstanceLoad>(
  candidates: readonly T[],
  options: InstanceChoiceOptions,
): T | undefined {
  const free = candidates.filter((candidate) =>
    !candidate.isEjected && candidate.inFlight < candidate.limit
  );
  const isOwn = (candidate: T) =>
    candidate.failureDomain === options.failureDomain;
  const tiers = [
    free.filter((one) => !one.isSuspect && isOwn(one)),
    free.filter((one) => !one.isSuspect),
    free,
  ];
  const tier = tiers.find((instances) => instances.length > 0);
  return tier && sampleLeastLoaded(tier, options);
}

/** Samples without replacement and returns the least utilized; the first sampled wins a tie. */
function sampleLeastLoaded<T extends InstanceLoad>(
  tier: readonly T[],
  { random, sampleSize }: InstanceChoiceOptions,
): T {
  const rest = [...tier];
  let best: T | undefined;
  for (
    let samples = 0;
    samples < sampleSize && rest.length > 0;
    samples += 1
  ) {
    const [next] = rest.splice(random.nextInteger(rest.length), 1);
    if (
      best === undefined || computeUtilization(next) < computeUtilization(best)
    ) {
      best = next;
    }
  }
  return best!;
}

function computeUtilization(candidate: InstanceLoad): number {
  return candidate.inFlight / candidate.limit;
}
