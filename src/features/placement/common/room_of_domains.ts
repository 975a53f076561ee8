/**
 * Estimates which fraction of the slots of a service is in use in each failure domain.
 *
 * Load pattern: the demand of failure domains swings by half within seconds, one domain after the other, so
 * that one has no room while others have some. The report of a single gate is worth little after a few times
 * the duration of a call, because its slots are then held by other calls; the mean over the gates of a domain
 * stays valid for longer. The estimate of a gate therefore moves from its own report to the mean of its domain
 * as the report ages.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { FailureDomainName } from "../../../world/common/names.ts";
import type { GateCandidate } from "./gate_choice.ts";

/** A report of this age counts half as much in the mean of its domain as a fresh one. */
const HALF_WEIGHT_AGE_MS: Milliseconds = 1_000;
/** After as many times the duration of a call, the report of a gate counts as much as the mean of its domain. */
const HALF_WEIGHT_SLOT_TIMES = 4;
/** The summary is kept for this long, since it changes slowly and each call needs it. */
const REFRESH_INTERVAL_MS: Milliseconds = 50;

/** The fraction of slots in use, waiting calls included; may exceed 1. */
export type DomainUtilization = ReadonlyMap<FailureDomainName, number>;

export interface RoomOfDomains {
  /** The candidates are all gates of one service. */
  summarize(
    candidates: readonly GateCandidate[],
    now: Milliseconds,
  ): DomainUtilization;
}

export function createRoomOfDomains(): RoomOfDomains {
  let summary: DomainUtilization = new Map();
  let summarizedAt = -Infinity;
  return {
    summarize(candidates, now) {
      if (now - summarizedAt >= REFRESH_INTERVAL_MS) {
        summary = summarizeDomains(candidates);
        summarizedAt = now;
      }
      return summary;
    },
  };
}

export function summarizeDomains(
  candidates: readonly GateCandidate[],
): DomainUtilization {
  const sums = new Map<FailureDomainName, { used: number; slots: number }>();
  for (const { failureDomain, load, loadAge = 0 } of candidates) {
    let sum = sums.get(failureDomain);
    if (sum === undefined) {
      sum = { used: 0, slots: 0 };
      sums.set(failureDomain, sum);
    }
    const weight = HALF_WEIGHT_AGE_MS / (HALF_WEIGHT_AGE_MS + loadAge);
    sum.used += weight * (load.running + load.waiting);
    sum.slots += weight * load.limit;
  }
  return new Map(
    [...sums].map((
      [domain, { used, slots }],
    ) => [domain, slots > 0 ? used / slots : 1]),
  );
}

/** The calls that are expected to run or wait at a gate now. */
export function estimateOccupied(
  { failureDomain, load, loadAge = 0, offeredSinceReport = 0, outstanding }:
    GateCandidate,
  utilization: DomainUtilization,
  slotMilliseconds: Milliseconds,
): number {
  const reported = load.running + load.waiting;
  const usual = (utilization.get(failureDomain) ?? 1) * load.limit;
  const halfWeightAge = HALF_WEIGHT_SLOT_TIMES * slotMilliseconds;
  const weight = halfWeightAge / (halfWeightAge + loadAge);
  return Math.max(
    usual + weight * (reported - usual) + offeredSinceReport,
    outstanding,
  );
}
