/**
 * Computes when a retryable call is hedged, that is, also offered to a second gate.
 *
 * Load pattern: service times have a long tail, an instance has become slow or unresponsive, or a link
 * delays responses. One such call also delays the pipelined calls behind it. A hedged request that
 * starts while the objective can still be met avoids this. It is sent only if an instance has free
 * capacity, so that it adds no queueing under overload. The expected time includes the relative
 * service time of the instance and the transit: overloaded daemons would otherwise hedge most calls
 * and become slower still.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export interface HedgeInput {
  /** Mean service time of calls of the route. */
  readonly meanServiceMilliseconds: Milliseconds;
  /** Mean time from the offer of such calls to their response; 0 while none is known. */
  readonly meanResponseMilliseconds: Milliseconds;
  /** Service time of the chosen instance relative to the mean. */
  readonly relativeServiceTime: number;
  /** Time from the offer to the latency objective; may be negative. */
  readonly objectiveIn: Milliseconds;
}

/** About one call in twenty takes longer than this multiple of the expected time. */
const PREFERRED_DELAY_FACTOR = 2;
/** An earlier hedged request would mostly duplicate calls that are about to end. */
const MINIMUM_DELAY_FACTOR = 1.4;
/** Multiple of the expected time that is left for the hedged request before the objective. */
const RESERVE_FACTOR = 1.2;
/** Calls of a few milliseconds vary by this much. */
const MINIMUM_DELAY_MS: Milliseconds = 20;

/** Instances of one service differ in speed by about this factor; slower ones are considered faulty. */
const MAXIMUM_RELATIVE_SERVICE_TIME = 2;

export function computeHedgeDelay(call: HedgeInput): Milliseconds {
  const { objectiveIn } = call;
  const relativeServiceTime = Math.min(
    MAXIMUM_RELATIVE_SERVICE_TIME,
    Math.max(1, call.relativeServiceTime),
  );
  const expectedMilliseconds = Math.max(
    call.meanServiceMilliseconds * relativeServiceTime,
    call.meanResponseMilliseconds,
  );
  const latest = objectiveIn - RESERVE_FACTOR * expectedMilliseconds;
  const preferred = Math.min(
    PREFERRED_DELAY_FACTOR * expectedMilliseconds,
    latest,
  );
  return Math.max(
    MINIMUM_DELAY_MS,
    MINIMUM_DELAY_FACTOR * expectedMilliseconds,
    preferred,
  );
}
