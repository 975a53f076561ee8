/**
 * The decisions on a move: the share of the new version and whether it is good or bad. Pure
 * functions of the move, the evidence and the time.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Move } from "../../../world/common/move.ts";
import type {
  FailureDomainName,
  RouteName,
} from "../../../world/common/names.ts";
import { type Difference, findDifference } from "./comparison.ts";
import {
  CALLS_FIELD,
  CLASS_FIELDS,
  classOfLoad,
  type EvidenceRow,
  type EvidenceStore,
  FIRST_BUCKET_FIELD,
  LATENCY_BUCKETS,
  LOAD_CLASSES,
  lowestLoadOf,
} from "./evidence.ts";
import {
  durationOf,
  LAST_STEP,
  observationEndsAt,
  SHARE_STEPS,
  SHORTEST_MOVE_MS,
  SHORTEST_STEP_MS,
  stepStartsAt,
} from "./move_schedule.ts";

/** What a daemon knows of a move when it decides. */
export interface MoveEvidence {
  readonly store: EvidenceStore;
  readonly step: number;
  readonly stepEnteredAt: Milliseconds;
  /** Hosts that are known to run the new version. */
  readonly candidateHosts: number;
  /** Failure domains that were heard from lately, with the own one. */
  readonly reachableDomains: ReadonlySet<FailureDomainName>;
  readonly areAllDomainsReachable: boolean;
  /** Whether a daemon has found the version good, so that the deadline was met. */
  readonly wasFoundGood: boolean;
}

export type Judgement = "good" | "bad" | "open";

export interface Assessment {
  readonly judgement: Judgement;
  /** Empty while open. */
  readonly reason: string;
}

/**
 * The level of each test. With 5 routes, 2 measures and a new window each 15 s, an hour holds
 * some 2,500 tests, so a good version meets a false alarm in at most 0.3 % of such moves.
 */
const BAD_ALPHA = 1e-6;
/** The level at which a difference is a sign that stops the steps without a verdict. */
const SIGN_ALPHA = 0.01;

/** Calls to the new version that a route needs for a step. */
const ENOUGH_CALLS = 50;
/**
 * The share while the first step is overdue for want of calls: twice the first one and still
 * under the 5 % that a bad version may receive. A route with a tenth of 100 calls per second gets
 * its 50 calls in 125 s instead of 250 s.
 */
const HURRIED_SHARE = 0.04;
/** Routes with a smaller part of the service's calls do not hold back a move. */
const SMALLEST_ROUTE_PART = 0.01;
/**
 * When failure domains stay unreachable, the verdict `good` waits until this part of the time to
 * the deadline, because the other side may know that the version is bad.
 */
const PARTITION_WAIT_PART = 0.98;
/** Verdicts `good` on their way at the deadline arrive before a daemon finds the move late. */
const DEADLINE_GRACE_MS: Milliseconds = 2_000;

const OPEN: Assessment = { judgement: "open", reason: "" };

/** The share of the new version over all daemons; see `concentrate` for one daemon's part. */
export function planShare(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): number {
  const step = planStep(move, evidence, now);
  return isHurried(move, { ...evidence, step }, now)
    ? HURRIED_SHARE
    : SHARE_STEPS[step];
}

/** Whether the first step lacks nothing but calls when the next one is due. */
function isHurried(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): boolean {
  return evidence.step === 0 && now >= stepStartsAt(move, 1) &&
    findBadness(evidence, SIGN_ALPHA) === undefined;
}

/** The step that the evidence allows now: the present one or the next. */
export function planStep(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): number {
  const { step, stepEnteredAt } = evidence;
  const isDue = step < LAST_STEP && now >= stepStartsAt(move, step + 1) &&
    now >= stepEnteredAt + SHORTEST_STEP_MS;
  return isDue && isEvidenceGood(evidence) ? step + 1 : step;
}

export function judge(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): Judgement {
  return assess(move, evidence, now).judgement;
}

/** The judgement with its reason for the operator. */
export function assess(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): Assessment {
  if (durationOf(move) < SHORTEST_MOVE_MS) {
    return bad(
      `The deadline leaves ${
        durationOf(move)
      } ms and the steps need at least ` +
        `${SHORTEST_MOVE_MS} ms`,
    );
  }
  const difference = findBadness(evidence, BAD_ALPHA);
  if (difference !== undefined) {
    return bad(describeDifference(difference));
  }
  if (isObserved(move, evidence, now) && isEvidenceGood(evidence)) {
    return {
      judgement: "good",
      reason: "No route was worse during the observation at share 1",
    };
  }
  if (
    now >= move.deadlineAt + DEADLINE_GRACE_MS && !evidence.wasFoundGood
  ) {
    return bad(describeDelay(evidence));
  }
  return OPEN;
}

function bad(reason: string): Assessment {
  return { judgement: "bad", reason };
}

function isObserved(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): boolean {
  const mayBeUnheard =
    now >= move.startedAt + durationOf(move) * PARTITION_WAIT_PART;
  return evidence.step === LAST_STEP &&
    now >= observationEndsAt(move, evidence.stepEnteredAt) &&
    (evidence.areAllDomainsReachable || mayBeUnheard);
}

function findBadness(
  evidence: MoveEvidence,
  alpha: number,
): Difference | undefined {
  const { store, candidateHosts } = evidence;
  for (const route of store.stableTotals.keys()) {
    for (const window of ["recent", "whole"] as const) {
      const found = findDifference(store, route, {
        window,
        alpha,
        candidateHosts,
      });
      if (found !== undefined) {
        return found;
      }
    }
  }
  return undefined;
}

function isEvidenceGood(evidence: MoveEvidence): boolean {
  return findThinRoute(evidence) === undefined &&
    findBadness(evidence, SIGN_ALPHA) === undefined;
}

interface RouteCalls {
  readonly route: RouteName;
  readonly calls: number;
}

/** A route whose new version had too few calls; a service without calls has no evidence. */
function findThinRoute(evidence: MoveEvidence): RouteCalls | undefined {
  const { store } = evidence;
  const calls = countCallsByRoute(store);
  const all = [...calls.values()].reduce((sum, count) => sum + count, 0);
  if (all === 0) {
    return { route: "", calls: 0 };
  }
  for (const [route, count] of calls) {
    if (count >= all * SMALLEST_ROUTE_PART) {
      const comparable = countComparableCalls(evidence, route);
      if (comparable < ENOUGH_CALLS) {
        return { route, calls: comparable };
      }
    }
  }
  return undefined;
}

function countCallsByRoute(store: EvidenceStore): Map<RouteName, number> {
  const calls = new Map<RouteName, number>();
  for (const [route, totals] of store.stableTotals) {
    calls.set(route, countCalls(totals.counters, 0));
  }
  for (const row of store.rows.values()) {
    if (row.side === "candidate") {
      const count = countCalls(row.counters, 0);
      calls.set(row.route, (calls.get(row.route) ?? 0) + count);
    }
  }
  return calls;
}

/**
 * Warm calls to the new version from reachable failure domains at a load like that of the
 * replaced version. By Little's law a faster version has a lower load at the same rate of calls,
 * so the load that it must reach is reduced in proportion to its latency.
 */
function countComparableCalls(
  evidence: MoveEvidence,
  route: RouteName,
): number {
  const totals = evidence.store.stableTotals.get(route);
  const rows = [...evidence.store.rows.values()].filter((row) =>
    row.side === "candidate" && row.route === route &&
    evidence.reachableDomains.has(row.observerDomain)
  );
  if (totals === undefined) {
    return rows.reduce((sum, row) => sum + countCalls(row.counters, 0), 0);
  }
  const speed = 2 **
    ((medianBucket(rows.map((row) => row.counters)) -
      medianBucket([totals.counters])) / 2);
  const usual = lowestLoadOf(medianClass(totals.counters));
  const lowest = classOfLoad(usual * Math.min(1, speed));
  return rows.reduce((sum, row) => sum + countCalls(row.counters, lowest), 0);
}

/** Calls at a class of load or above, without cold ones. */
function countCalls(
  counters: EvidenceRow["counters"],
  lowestClass: number,
): number {
  let calls = 0;
  for (let index = lowestClass; index < LOAD_CLASSES; index += 1) {
    calls += counters[index * CLASS_FIELDS + CALLS_FIELD];
  }
  return calls;
}

function medianClass(counters: Uint32Array): number {
  const half = countCalls(counters, 0) / 2;
  let index = LOAD_CLASSES - 1;
  while (index > 0 && countCalls(counters, index) < half) {
    index -= 1;
  }
  return index;
}

function medianBucket(rows: readonly Uint32Array[]): number {
  const counts = new Array<number>(LATENCY_BUCKETS).fill(0);
  for (const counters of rows) {
    for (let index = 0; index < LOAD_CLASSES; index += 1) {
      for (let bucket = 0; bucket < LATENCY_BUCKETS; bucket += 1) {
        counts[bucket] +=
          counters[index * CLASS_FIELDS + FIRST_BUCKET_FIELD + bucket];
      }
    }
  }
  let below = 0;
  const half = counts.reduce((sum, count) => sum + count, 0) / 2;
  const median = counts.findIndex((count) => (below += count) >= half);
  return Math.max(0, median);
}

function describeDifference(difference: Difference): string {
  const percent = (rate: number) => `${(rate * 100).toFixed(1)} %`;
  const what = difference.measure === "failures"
    ? "calls failed"
    : "calls were slow";
  return `Route ${difference.route}: ${percent(difference.candidateRate)} of ` +
    `${what}, and ${
      percent(difference.referenceRate)
    } with the replaced version`;
}

function describeDelay(evidence: MoveEvidence): string {
  const share = SHARE_STEPS[evidence.step];
  const thin = findThinRoute(evidence);
  if (thin?.route === "") {
    return `The deadline passed at share ${share}: the service had no calls`;
  }
  const cause = thin === undefined
    ? "the evidence was not clear enough"
    : `route ${thin.route} had ${thin.calls} comparable calls to the new ` +
      `version of ${ENOUGH_CALLS}`;
  return `The deadline passed at share ${share}: ${cause}`;
}
