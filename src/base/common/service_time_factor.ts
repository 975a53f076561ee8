/**
 * Random service times for load replays.
 *
 * @module
 */

import type { RandomSource } from "./random_source.ts";

/** Draws from an approximately lognormal distribution with mean 1: most calls are short, some take several times as long. */
export function drawServiceTimeFactor(
  random: RandomSource,
  deviation: number,
): number {
  const normalSample = Array.from({ length: 12 }, () => random.nextFraction())
    .reduce((sum, draw) => sum + draw, -6);
  return Math.exp(deviation * normalSample - deviation ** 2 / 2);
}
