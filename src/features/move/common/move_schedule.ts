/**
 * The steps of a move and the instants that follow from its deadline.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Move } from "../../../world/common/move.ts";

/** The parts of calls for the new version, one step after the other. */
export const SHARE_STEPS = [0.02, 0.05, 0.1, 0.25, 0.5, 0.75, 1];
export const LAST_STEP = SHARE_STEPS.length - 1;

/** The part of the time to the deadline in which the steps before share 1 are made. */
const STEPPING_PART = 0.8;
/** The part after which a version at share 1 is found good; the rest is for the append. */
const GOOD_PART = 0.95;
/** The shortest observation at share 1 when the steps were late, as a part of the time. */
const SHORTEST_OBSERVATION_PART = 0.05;
/** A step is held for two of the shortest burst cycles, so that two hosts are compared. */
export const SHORTEST_STEP_MS: Milliseconds = 4_000;

/** The time from start to deadline that the steps need at least. */
export const SHORTEST_MOVE_MS: Milliseconds = SHORTEST_STEP_MS * LAST_STEP /
  STEPPING_PART;

export function durationOf(move: Move): Milliseconds {
  return move.deadlineAt - move.startedAt;
}

export function stepDuration(move: Move): Milliseconds {
  return durationOf(move) * STEPPING_PART / LAST_STEP;
}

/** The earliest instant of a step. */
export function stepStartsAt(move: Move, step: number): Milliseconds {
  return move.startedAt + step * stepDuration(move);
}

/** When a version that entered share 1 at an instant has been observed for long enough. */
export function observationEndsAt(
  move: Move,
  enteredAt: Milliseconds,
): Milliseconds {
  const duration = durationOf(move);
  return Math.max(
    move.startedAt + duration * GOOD_PART,
    enteredAt + duration * SHORTEST_OBSERVATION_PART,
  );
}
