/**
 * Whether a gate takes a call: it starts, waits, or is refused on arrival.
 *
 * Load pattern: sustained overload of one instance. A queue as long as the deadlines allow makes
 * every call late, though the instance serves no more of them. A call waits only if it can finish within
 * its objective; otherwise it is refused at once, so that its caller can try another gate or
 * return later. A call that can start at once is taken even if it will be late.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { WaitingCall } from "./waiting_room.ts";

export interface GateLoad {
  readonly running: number;
  /** Calls that the instance may work on at once. */
  readonly limit: number;
  /** Waiting calls that would start before this one. */
  readonly ahead: number;
  /** The mean time that the instance works on a call. */
  readonly meanMilliseconds: Milliseconds;
  /** The part of the instance's capacity that more urgent calls take, 0 to 1; 0 when absent. */
  readonly takenByMoreUrgent?: number;
}

/** The least part of the capacity that is assumed for a call; urgent load comes in waves. */
const LEAST_CAPACITY_PART = 0.1;

/**
 * Service times spread widely. A call that is admitted to end at its objective by the mean time is late
 * every other time; about one call in eight takes longer than this many times the mean.
 */
const LONG_CALL_FACTOR = 1.6;

export type AdmissionDecision =
  | { readonly type: "start" }
  | { readonly type: "wait" }
  | { readonly type: "refuse"; readonly retryAfter: Milliseconds };

/** The time until a call with `ahead` calls before it starts. */
export function estimateQueueWait(load: GateLoad): Milliseconds {
  if (load.running + load.ahead < load.limit) {
    return 0;
  }
  const places = load.running + load.ahead - load.limit + 1;
  // More urgent calls that arrive while this one waits start before it.
  const capacityPart = Math.max(
    LEAST_CAPACITY_PART,
    1 - (load.takenByMoreUrgent ?? 0),
  );
  return places * load.meanMilliseconds /
    (Math.max(1, load.limit) * capacityPart);
}

export function decideAdmission(
  call: WaitingCall,
  load: GateLoad,
  now: Milliseconds,
): AdmissionDecision {
  const wait = estimateQueueWait(load);
  if (wait === 0) {
    return now + call.expectedMilliseconds / 2 > call.deadlineAt
      ? { type: "refuse", retryAfter: 0 }
      : { type: "start" };
  }
  const latestEnd = Math.min(call.objectiveAt, call.deadlineAt);
  return now + wait + LONG_CALL_FACTOR * call.expectedMilliseconds > latestEnd
    ? { type: "refuse", retryAfter: wait }
    : { type: "wait" };
}
