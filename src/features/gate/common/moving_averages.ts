/**
 * Exponential moving averages by route, for example of service time or response size.
 *
 * @module
 */

import type { RouteName } from "../../../world/common/names.ts";

/** The weight of a new value; the average reflects about the last 20 calls. */
const SMOOTHING_FACTOR = 0.05;

export interface MovingAverages {
  /** The average of a route, or `fallback` before the first recorded value. */
  averageOf(route: RouteName, fallback: number): number;
  record(route: RouteName, value: number): void;
}

export function createMovingAverages(): MovingAverages {
  const averages = new Map<RouteName, number>();
  return {
    averageOf: (route, fallback) => averages.get(route) ?? fallback,
    record(route, value) {
      const average = averages.get(route);
      averages.set(
        route,
        average === undefined
          ? value
          : average + SMOOTHING_FACTOR * (value - average),
      );
    },
  };
}
