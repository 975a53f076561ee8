/**
 * The pauses between the calls of one caller of a soak.
 *
 * @module
 */

import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import type { RandomSource } from "../src/base/common/random_source.ts";

/** Many connections are then idle from the start of a stop until its last second, the sixth. */
export const MEAN_IDLE_MS: Milliseconds = 6_000;
/** Four fifths of the idle timeout of a connection, which is 15 s. */
const MAXIMUM_IDLE_MS: Milliseconds = 12_000;
/**
 * The maxima of the callers differ: more than an eighth of all callers, which start together, would otherwise end
 * their first pause at the same moment. Such a burst occupies all slots, and gates refuse calls that would be queued
 * beyond their goal of 0.3 s, although the instances could serve them within the timeout.
 */
const MAXIMUM_IDLE_SPREAD_MS: Milliseconds = 4_000;

/** Draws a pause; `position` is that of the caller among all of its host, from 0 to 1. */
export function drawPause(
  random: RandomSource,
  position: number,
): Milliseconds {
  const pause = -Math.log(1 - random.nextFraction()) * MEAN_IDLE_MS;
  return Math.min(
    pause,
    MAXIMUM_IDLE_MS - position * MAXIMUM_IDLE_SPREAD_MS,
  );
}
