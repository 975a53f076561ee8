/**
 * Running means of how long calls take, by route.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RouteName } from "../../../world/common/names.ts";

/** The weight of a new value; about the last 20 calls count. */
const NEWEST_WEIGHT = 0.05;

export interface ServiceTimes {
  /** The mean time of a route, or `otherwise` while none of its calls has ended. */
  usual(route: RouteName, otherwise: Milliseconds): Milliseconds;
  record(route: RouteName, duration: Milliseconds): void;
}

export function createServiceTimes(): ServiceTimes {
  const means = new Map<RouteName, Milliseconds>();
  return {
    usual: (route, otherwise) => means.get(route) ?? otherwise,
    record(route, duration) {
      const mean = means.get(route);
      means.set(
        route,
        mean === undefined
          ? duration
          : mean + NEWEST_WEIGHT * (duration - mean),
      );
    },
  };
}
