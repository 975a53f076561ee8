/**
 * Weighted random selection of the service of a route with several targets.
 *
 * @module
 */

import type { RandomSource } from "../../../base/common/random_source.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { ServiceName } from "../../../world/common/names.ts";

export function chooseService(
  { targets }: Pick<MeshRoute, "targets">,
  random: RandomSource,
): ServiceName {
  if (targets.length === 1) {
    return targets[0].service;
  }
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random.nextFraction() * total;
  for (const { service, weight } of targets) {
    rest -= weight;
    if (rest < 0) {
      return service;
    }
  }
  return targets.findLast(({ weight }) => weight > 0)!.service;
}
