/**
 * The steps of a move and the times that follow from its deadline.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Move } from "../../../world/common/move.ts";

/** The fraction of calls for the new version at each step. */
export const SHARE_STEPS = [0.02, 0.05, 0.1, 0.25, 0.5, 0.75, 1];
export const LAST_STEP = SHARE_STEPS.length - 1;

/** The fraction of the time from start to deadline after which share 1 is due. */
const STEPPING_FRACTION = 0.8;
/**
 * The fraction of the time after which a version at share 1 is found good. The rest is for the
 * append of the verdict.
 */
const OBSERVATION_END_FRACTION = 0.95;
/** The minimum observation at share 1 if the steps were late, as a fraction of the time. */
const MINIMUM_OBSERVATION_FRACTION = 0.05;
/** Two burst cycles of the minimum length, so that two hosts are compared. */
export const MINIMUM_STEP_MS: Milliseconds = 4_000;

/** The minimum time from start to deadline that the steps need. */
export const MINIMUM_MOVE_MS: Milliseconds = MINIMUM_STEP_MS * LAST_STEP /
  STEPPING_FRACTION;

export function durationOf(move: Move): Milliseconds {
  return move.deadlineAt - move.startedAt;
}

export function stepDuration(move: Move): Milliseconds {
  return durationOf(move) * STEPPING_FRACTION / LAST_STEP;
}

/** The earliest time at which a step may begin. */
export function stepStartsAt(move: Move, step: number): Milliseconds {
  return move.startedAt + step * stepDuration(move);
}

/** When the observation of a version that reached share 1 at `enteredAt` is complete. */
export function observationEndsAt(
  move: Move,
  enteredAt: Milliseconds,
): Milliseconds {
  const duration = durationOf(move);
  return Math.max(
    move.startedAt + duration * OBSERVATION_END_FRACTION,
    enteredAt + duration * MINIMUM_OBSERVATION_FRACTION,
  );
}
