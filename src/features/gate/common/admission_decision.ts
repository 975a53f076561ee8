/**
 * Decides whether a call that arrives at a gate starts, is queued, or is refused.
 *
 * Load pattern: sustained overload of one instance. If the queue could grow as long as the deadlines
 * allow, every call would be late without any increase in throughput. A call is therefore queued only if
 * it can finish within its objective. Otherwise it is refused immediately, so that its caller can try
 * another gate or retry later. A call that can start immediately is admitted even if it will miss its
 * objective.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { QueueableCall } from "./call_queue.ts";

export interface GateLoad {
  readonly running: number;
  /** The maximum number of concurrent calls of the instance. */
  readonly limit: number;
  /** Queued calls that would start before this one. */
  readonly ahead: number;
  /** The mean service time of the instance. */
  readonly meanMilliseconds: Milliseconds;
  /** The fraction of the instance's capacity used by calls of higher priority; 0 when absent. */
  readonly higherPriorityLoad?: number;
  /** The time until the rate limit of the instance allows this call and those before it; 0 when absent. */
  readonly rateWait?: Milliseconds;
  /** The time until a slot is free that is not kept for more urgent calls; 0 when absent. */
  readonly reservedWait?: Milliseconds;
}

/** The minimum fraction of the capacity assumed for a call, because high-priority load is bursty. */
const MINIMUM_CAPACITY_FRACTION = 0.1;

/**
 * Service times vary widely. If calls were admitted on the mean service time alone, every other call
 * would miss its objective. About one call in eight takes longer than this multiple of the mean.
 */
export const SERVICE_TIME_MARGIN_FACTOR = 1.6;

/** Whether most calls of this mean service time end within the time. */
export function usuallyEndsWithin(
  time: Milliseconds,
  meanServiceMilliseconds: Milliseconds,
): boolean {
  return SERVICE_TIME_MARGIN_FACTOR * meanServiceMilliseconds <= time;
}

export type AdmissionDecision =
  | { readonly type: "start" }
  | { readonly type: "wait" }
  | { readonly type: "refuse"; readonly retryAfter: Milliseconds };

/** Estimates the time until a call starts that has `ahead` queued calls before it. */
export function estimateQueueWait(load: GateLoad): Milliseconds {
  // Calls of higher priority that arrive while this one is queued start before it.
  const capacityFraction = Math.max(
    MINIMUM_CAPACITY_FRACTION,
    1 - (load.higherPriorityLoad ?? 0),
  );
  return Math.max(
    Math.max(estimateSlotWait(load), load.rateWait ?? 0) / capacityFraction,
    load.reservedWait ?? 0,
  );
}

/** The time until a slot is free, without calls that arrive later. */
function estimateSlotWait(
  { running, ahead, limit, meanMilliseconds }: GateLoad,
): Milliseconds {
  if (running + ahead < limit) {
    return 0;
  }
  const completionsNeeded = running + ahead - limit + 1;
  // The limit that a gate reports is below 1 where its instance takes less than one call at a time.
  return completionsNeeded * meanMilliseconds / (limit > 0 ? limit : 1);
}

export function decideAdmission(
  call: QueueableCall,
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
  return now + wait + SERVICE_TIME_MARGIN_FACTOR * call.expectedMilliseconds >
      latestEnd
    ? { type: "refuse", retryAfter: wait }
    : { type: "wait" };
}
