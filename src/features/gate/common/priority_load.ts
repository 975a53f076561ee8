/**
 * The fraction of an instance's capacity that calls of each priority use.
 *
 * Load pattern: high-priority calls that nearly saturate an instance. If a low-priority call were admitted
 * by the queue length at its arrival alone, later high-priority calls would start before it until its
 * deadline passed. With the arrival rate of higher priorities known, the gate refuses it on arrival.
 *
 * @module
 */

import {
  createDecayedCount,
  type DecayedCount,
} from "../../../base/common/decayed_count.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { comparePriority, type QueueableCall } from "./call_queue.ts";

type CallPriority = Pick<QueueableCall, "rank" | "isNested">;

/** The weight of an arrival decays to about a third within this time. */
const DECAY_MS: Milliseconds = 1_000;

interface PriorityRate {
  readonly priority: CallPriority;
  /** Decayed count of calls that were not refused. */
  readonly admitted: DecayedCount;
}

export interface PriorityLoad {
  record(call: CallPriority, now: Milliseconds): void;
  /** Estimates the fraction of the capacity used by calls of higher priority; can exceed 1. */
  estimateHigherPriorityLoad(
    call: CallPriority,
    capacity: {
      readonly limit: number;
      readonly meanMilliseconds: Milliseconds;
    },
    now: Milliseconds,
  ): number;
}

export function createPriorityLoad(): PriorityLoad {
  const rates = new Map<string, PriorityRate>();

  return {
    record({ rank, isNested }, now) {
      const key = `${rank}|${isNested}`;
      const rate = rates.get(key) ??
        {
          priority: { rank, isNested },
          admitted: createDecayedCount(DECAY_MS),
        };
      rates.set(key, rate);
      rate.admitted.add(now);
    },
    estimateHigherPriorityLoad(call, { limit, meanMilliseconds }, now) {
      let count = 0;
      for (const rate of rates.values()) {
        if (comparePriority(rate.priority, call) < 0) {
          count += rate.admitted.current(now);
        }
      }
      return count * meanMilliseconds / (DECAY_MS * (limit > 0 ? limit : 1));
    },
  };
}
