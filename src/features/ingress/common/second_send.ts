/**
 * When a call that may be repeated is also offered to a second gate.
 *
 * Load pattern: service times with a long tail, an instance that has become slow or silent, a link
 * that holds answers back. One such call also delays the pipelined calls behind it. A second
 * send that starts while the objective can still be met saves them; it is made only where an
 * instance has a free place, so that it adds no waiting under overload. What is usual includes the
 * speed of the instance and the way there: daemons that are late themselves would otherwise
 * send most calls twice, and be later still.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface SecondSendCall {
  /** The time of such calls at an instance of usual speed. */
  readonly usualMilliseconds: Milliseconds;
  /** The mean time from the offer of such calls to their answers; 0 while none is known. */
  readonly responseMilliseconds: Milliseconds;
  /** The time of the chosen instance for calls relative to what is usual. */
  readonly relativeServiceTime: number;
  /** The time from the offer to the objective; may be negative. */
  readonly objectiveIn: Milliseconds;
}

/** About one call in twenty takes longer than this many times the usual. */
const USUAL_FACTOR = 2;
/** A second send sooner than this would mostly repeat calls that are about to end. */
const LEAST_FACTOR = 1.4;
/** The part of the usual time that the second send needs before the objective. */
const RESERVE_FACTOR = 1.2;
/** Calls that take some milliseconds vary by as much. */
const LEAST_DELAY_MS: Milliseconds = 20;

/** Instances of one service differ in speed by about this factor; slower ones have a fault. */
const SLOWEST_PACE = 2;

export function secondSendDelay(call: SecondSendCall): Milliseconds {
  const { objectiveIn } = call;
  const relativeServiceTime = Math.min(
    SLOWEST_PACE,
    Math.max(1, call.relativeServiceTime),
  );
  const usualMilliseconds = Math.max(
    call.usualMilliseconds * relativeServiceTime,
    call.responseMilliseconds,
  );
  const latest = objectiveIn - RESERVE_FACTOR * usualMilliseconds;
  const wanted = Math.min(USUAL_FACTOR * usualMilliseconds, latest);
  return Math.max(
    LEAST_DELAY_MS,
    LEAST_FACTOR * usualMilliseconds,
    wanted,
  );
}
