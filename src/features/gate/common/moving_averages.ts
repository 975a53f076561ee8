/**
 * Running means of a figure of calls, such as their time or the size of their answers, by route.
 *
 * @module
 */

import type { RouteName } from "../../../world/common/names.ts";

/** The weight of a new value; about the last 20 calls count. */
const NEWEST_WEIGHT = 0.05;

export interface RunningMeans {
  /** The mean of a route, or `otherwise` while none of its calls has ended. */
  usual(route: RouteName, otherwise: number): number;
  record(route: RouteName, value: number): void;
}

export function createMovingAverages(): RunningMeans {
  const means = new Map<RouteName, number>();
  return {
    usual: (route, otherwise) => means.get(route) ?? otherwise,
    record(route, value) {
      const mean = means.get(route);
      means.set(
        route,
        mean === undefined ? value : mean + NEWEST_WEIGHT * (value - mean),
      );
    },
  };
}
