/**
 * The part of an instance's capacity that calls of each urgency take.
 *
 * Load pattern: urgent calls that alone nearly fill an instance. A less urgent call that is admitted
 * by the calls ahead of it at its arrival is overtaken until its time is over; knowing the rate
 * of the more urgent ones, the gate refuses it at once.
 *
 * @module
 */

import {
  createDecayedCount,
  type DecayedCount,
} from "../../../base/common/decayed_count.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { compareUrgency, type WaitingCall } from "./call_queue.ts";

type Urgency = Pick<WaitingCall, "rank" | "isNested">;

/** Arrivals count with a weight that falls to a third within this time. */
const DECAY_MS: Milliseconds = 1_000;

interface UrgencyRate {
  readonly urgency: Urgency;
  /** Calls that were not refused. */
  readonly taken: DecayedCount;
}

export interface UrgentLoad {
  record(call: Urgency, now: Milliseconds): void;
  /** The part of the capacity that calls more urgent than this one take. */
  moreUrgentThan(
    call: Urgency,
    capacity: {
      readonly limit: number;
      readonly meanMilliseconds: Milliseconds;
    },
    now: Milliseconds,
  ): number;
}

export function createUrgentLoad(): UrgentLoad {
  const rates = new Map<string, UrgencyRate>();

  return {
    record({ rank, isNested }, now) {
      const key = `${rank}|${isNested}`;
      const rate = rates.get(key) ??
        { urgency: { rank, isNested }, taken: createDecayedCount(DECAY_MS) };
      rates.set(key, rate);
      rate.taken.add(now);
    },
    moreUrgentThan(call, { limit, meanMilliseconds }, now) {
      let count = 0;
      for (const rate of rates.values()) {
        if (compareUrgency(rate.urgency, call) < 0) {
          count += rate.taken.current(now);
        }
      }
      return count * meanMilliseconds / (DECAY_MS * Math.max(1, limit));
    },
  };
}
