/**
 * The part of an instance's capacity that calls of each urgency take.
 *
 * Load pattern: urgent calls that alone nearly fill an instance. A less urgent call that is admitted
 * by the calls ahead of it at its arrival is overtaken until its time is over; knowing the rate
 * of the more urgent ones, the gate refuses it at once.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { compareUrgency, type WaitingCall } from "./waiting_room.ts";

type Urgency = Pick<WaitingCall, "rank" | "isNested">;

/** Arrivals count with a weight that falls to a third within this time. */
const DECAY_MS: Milliseconds = 1_000;

interface UrgencyRate {
  readonly urgency: Urgency;
  /** Decayed number of calls that were not refused. */
  count: number;
  updatedAt: Milliseconds;
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

  function decay(rate: UrgencyRate, now: Milliseconds): void {
    rate.count *= Math.exp((rate.updatedAt - now) / DECAY_MS);
    rate.updatedAt = now;
  }

  return {
    record({ rank, isNested }, now) {
      const key = `${rank}|${isNested}`;
      const rate = rates.get(key) ??
        { urgency: { rank, isNested }, count: 0, updatedAt: now };
      rates.set(key, rate);
      decay(rate, now);
      rate.count += 1;
    },
    moreUrgentThan(call, { limit, meanMilliseconds }, now) {
      let count = 0;
      for (const rate of rates.values()) {
        if (compareUrgency(rate.urgency, call) < 0) {
          decay(rate, now);
          count += rate.count;
        }
      }
      return count * meanMilliseconds / (DECAY_MS * Math.max(1, limit));
    },
  };
}
