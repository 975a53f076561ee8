/**
 * Decides whether a gate returns a call to its caller's daemon instead of keeping it in its queue.
 *
 * Load pattern: calls are placed by reports that are seconds old, so a call may reach a gate that has just been
 * filled by others, or whose host has become slow while the call waits. Another gate often has a free slot.
 * The call is returned as not run while there is still time to serve it there. One that has waited for
 * longer is kept: held and refused late, it would be of no use to its caller.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** A call is returned if it would wait for, and has not yet waited for, this fraction of its objective. */
const MAXIMUM_WAIT_FRACTION = 1 / 8;

export interface WaitingTimes {
  /** How long the call has been waiting at the gate. */
  readonly waited: Milliseconds;
  /** The expected time until it starts. */
  readonly expectedWait: Milliseconds;
  /** The time to the call's objective when it was offered. */
  readonly objective: Milliseconds;
}

export function isReturned(
  { waited, expectedWait, objective }: WaitingTimes,
): boolean {
  const maximum = MAXIMUM_WAIT_FRACTION * Math.max(0, objective);
  return waited <= maximum && waited + expectedWait > maximum;
}
