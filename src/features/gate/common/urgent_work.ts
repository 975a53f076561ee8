/**
 * Measures the calls that are offered to a gate by priority: their rate, service times, and how long they can
 * wait.
 *
 * Load pattern: calls of very different service times. The number of urgent calls and the mean service time of
 * all calls give a wrong share of the capacity: many short calls count as much as long ones. Refused calls
 * count as demand too; otherwise urgent calls that find no room would seem not to exist, and no room would
 * be kept for them.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { comparePriority, type QueueableCall } from "./call_queue.ts";
import { SERVICE_TIME_MARGIN_FACTOR } from "./admission_decision.ts";
import type { UrgentLoad } from "./slot_reservation.ts";

type CallPriority = Pick<QueueableCall, "rank" | "isNested">;

/** The weight of an arrival decays to about a third within this time. */
const DECAY_MS: Milliseconds = 1_000;
/** Ranks are set by the configuration; those of earlier configurations are dropped. */
const MAXIMUM_PRIORITIES = 64;
/** Priorities with less weight are forgotten. */
const MINIMUM_WEIGHT = 0.01;

/** Sums in which the weight of a call decays. */
interface PriorityWork {
  readonly priority: CallPriority;
  updatedAt: Milliseconds;
  offered: number;
  work: Milliseconds;
  slack: Milliseconds;
  admittedWork: Milliseconds;
}

export interface UrgentWorkSummary extends UrgentLoad {
  /** The mean number of slots that the admitted calls of higher priority occupy. */
  readonly admittedSlots: number;
}

export interface UrgentWork {
  recordOffered(call: QueueableCall, now: Milliseconds): void;
  recordAdmitted(call: QueueableCall, now: Milliseconds): void;
  /** Summarizes the calls of higher priority than this one. */
  summarizeAbove(call: CallPriority, now: Milliseconds): UrgentWorkSummary;
}

export function createUrgentWork(): UrgentWork {
  const works = new Map<string, PriorityWork>();

  function decay(work: PriorityWork, now: Milliseconds): void {
    const factor = Math.exp((work.updatedAt - now) / DECAY_MS);
    work.updatedAt = now;
    work.offered *= factor;
    work.work *= factor;
    work.slack *= factor;
    work.admittedWork *= factor;
  }

  function dropUnused(now: Milliseconds): void {
    for (const [key, work] of works) {
      decay(work, now);
      if (work.offered < MINIMUM_WEIGHT) {
        works.delete(key);
      }
    }
  }

  function workOf(
    { rank, isNested }: CallPriority,
    now: Milliseconds,
  ): PriorityWork {
    const key = `${rank}|${isNested}`;
    let work = works.get(key);
    if (work === undefined) {
      if (works.size >= MAXIMUM_PRIORITIES) {
        dropUnused(now);
      }
      work = {
        priority: { rank, isNested },
        updatedAt: now,
        offered: 0,
        work: 0,
        slack: 0,
        admittedWork: 0,
      };
      works.set(key, work);
    }
    decay(work, now);
    return work;
  }

  return {
    recordOffered(call, now) {
      const work = workOf(call, now);
      const latestEnd = Math.min(call.objectiveAt, call.deadlineAt);
      work.offered += 1;
      work.work += call.expectedMilliseconds;
      work.slack += Math.max(
        0,
        latestEnd - now -
          SERVICE_TIME_MARGIN_FACTOR * call.expectedMilliseconds,
      );
    },
    recordAdmitted(call, now) {
      workOf(call, now).admittedWork += call.expectedMilliseconds;
    },
    summarizeAbove(call, now) {
      let offered = 0;
      let work = 0;
      let slack = 0;
      let admittedWork = 0;
      for (const other of works.values()) {
        if (comparePriority(other.priority, call) < 0) {
          decay(other, now);
          offered += other.offered;
          work += other.work;
          slack += other.slack;
          admittedWork += other.admittedWork;
        }
      }
      return {
        perMillisecond: offered / DECAY_MS,
        meanMilliseconds: offered > 0 ? work / offered : 0,
        waitMilliseconds: offered > 0 ? slack / offered : 0,
        admittedSlots: admittedWork / DECAY_MS,
      };
    },
  };
}
