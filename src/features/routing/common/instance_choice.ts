/**
 * The choice among the instances of one group.
 *
 * @module
 */

import type { RandomSource } from "../../../base/common/random_source.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";

/** An instance as the choice sees it. */
export interface Choosable {
  readonly failureDomain: FailureDomainName;
  readonly inFlight: number;
  readonly limit: number;
  readonly isEjected: boolean;
  /** Fails well above its peers, but may not be ejected because too many others are. */
  readonly isSuspect: boolean;
}

export interface ChoiceOptions {
  readonly failureDomain: FailureDomainName;
  readonly random: RandomSource;
  readonly drawnInstances: number;
}

/**
 * Takes the first tier that has room: the own failure domain, then the others; suspect
 * instances come last. Undefined when no instance has room.
 */
export function chooseInstance<T extends Choosable>(
  candidates: readonly T[],
  options: ChoiceOptions,
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
  return tier && drawLeastLoaded(tier, options);
}

/** Draws without replacement and keeps the least loaded, the first drawn when equal. */
function drawLeastLoaded<T extends Choosable>(
  tier: readonly T[],
  { random, drawnInstances }: ChoiceOptions,
): T {
  const rest = [...tier];
  let best: T | undefined;
  for (let drawn = 0; drawn < drawnInstances && rest.length > 0; drawn += 1) {
    const [next] = rest.splice(random.nextInteger(rest.length), 1);
    if (best === undefined || loadOf(next) < loadOf(best)) {
      best = next;
    }
  }
  return best!;
}

function loadOf(candidate: Choosable): number {
  return candidate.inFlight / candidate.limit;
}
