/**
 * Decides how many slots of an instance long calls leave to more urgent ones.
 *
 * Load pattern: reports of half a second and urgent calls of 30 to 80 ms share an instance of few slots.
 * A call that runs cannot be interrupted, so the queue order does not help an urgent call that finds every
 * slot taken by reports: the next slot becomes free after its objective. Long calls therefore use only the
 * slots that urgent ones do not need, by the rate and the service times at which these arrive.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

/** The calls of higher priority that arrive at a gate. */
export interface UrgentLoad {
  readonly perMillisecond: number;
  readonly meanMilliseconds: Milliseconds;
  /** How long they can wait for a slot and still end within their objective. */
  readonly waitMilliseconds: Milliseconds;
}

/**
 * A refused call is offered to three gates (`next_step.ts`). With this share of gates without room, one
 * urgent call in twenty finds no room at any of them.
 */
const TOLERATED_FULL_SHARE = 0.05 ** (1 / 3);

/** Calls of about the same length free slots as often as urgent ones do; the queue order is enough then. */
const MINIMUM_LENGTH_RATIO = 2;

/** Returns how many slots a call of this expected duration and all that are not more urgent may use. */
export function countUsableSlots(
  limit: number,
  expectedMilliseconds: Milliseconds,
  urgent: UrgentLoad,
): number {
  if (
    limit <= 1 ||
    // Fewer than one urgent call is expected while the long one runs.
    urgent.perMillisecond * expectedMilliseconds < 1 ||
    expectedMilliseconds < MINIMUM_LENGTH_RATIO * urgent.meanMilliseconds
  ) {
    return limit;
  }
  for (let usable = limit; usable > 1; usable -= 1) {
    const share = estimateLateShare(
      limit - usable,
      usable / expectedMilliseconds,
      urgent,
    );
    if (share <= TOLERATED_FULL_SHARE) {
      return usable;
    }
  }
  // Long calls keep one slot, so that they are never starved by the reservation.
  return 1;
}

/**
 * Estimates the share of urgent calls that wait longer than they can (M/M/c with `reserved` servers) if
 * long calls occupy all other slots and free them at the rate `releases`.
 */
function estimateLateShare(
  reserved: number,
  releases: number,
  { perMillisecond, meanMilliseconds, waitMilliseconds }: UrgentLoad,
): number {
  const drain = reserved / meanMilliseconds + releases - perMillisecond;
  return estimateWaitingShare(reserved, perMillisecond * meanMilliseconds) *
    Math.exp(-Math.max(0, drain) * waitMilliseconds);
}

/** The share of calls that wait with this many servers, by the Erlang C formula. */
function estimateWaitingShare(servers: number, load: number): number {
  if (load >= servers) {
    return 1;
  }
  let blocked = 1;
  for (let server = 1; server <= servers; server += 1) {
    blocked = load * blocked / (server + load * blocked);
  }
  return servers * blocked / (servers - load * (1 - blocked));
}
