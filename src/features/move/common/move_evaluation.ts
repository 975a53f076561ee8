/**
 * Evaluates a move: the share of the new version and whether the version is good or bad. Pure
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
import { findRouteRegression, type Regression } from "./comparison.ts";
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
  MINIMUM_MOVE_MS,
  MINIMUM_STEP_MS,
  observationEndsAt,
  SHARE_STEPS,
  stepStartsAt,
} from "./move_schedule.ts";

/** What a daemon knows of a move when it evaluates the move. */
export interface MoveEvidence {
  readonly store: EvidenceStore;
  readonly step: number;
  readonly stepEnteredAt: Milliseconds;
  /** The number of hosts known to run the new version. */
  readonly candidateHosts: number;
  /** Failure domains that were heard from recently, including this daemon's own. */
  readonly reachableDomains: ReadonlySet<FailureDomainName>;
  readonly areAllDomainsReachable: boolean;
  /** Whether a daemon has already found the version good, so that the deadline was met. */
  readonly hasGoodVerdict: boolean;
}

export type EvaluationOutcome = "good" | "bad" | "open";

export interface Evaluation {
  readonly outcome: EvaluationOutcome;
  /** For the operator; empty while the outcome is `open`. */
  readonly reason: string;
}

/**
 * The significance level of a test for a bad verdict. With 5 routes, 2 measures and a new window
 * each 15 s, an hour has about 2,500 tests, so at most 0.3 % of such moves of a good version have
 * a false alarm.
 */
const BAD_ALPHA = 1e-6;
/** The significance level at which a difference stops further steps without a verdict. */
const WARNING_ALPHA = 0.01;

/** The calls to the new version that each route needs for a step. */
const MINIMUM_CALLS = 50;
/**
 * The share while the end of the first step is overdue because of too few calls: twice the first
 * share, and still under the 5 % that a bad version may receive. A route with a tenth of 100 calls
 * per second gets its 50 calls in 125 s instead of 250 s.
 */
const OVERDUE_FIRST_STEP_SHARE = 0.04;
/** Routes with a smaller fraction of the service's calls do not delay a move. */
const MINIMUM_ROUTE_FRACTION = 0.01;
/**
 * While failure domains are unreachable, the verdict `good` is delayed until this fraction of the
 * time to the deadline, because the other side may know that the version is bad.
 */
const PARTITION_WAIT_FRACTION = 0.98;
/** Time for `good` verdicts that are in transit at the deadline to arrive, before a move is late. */
const DEADLINE_GRACE_MS: Milliseconds = 2_000;

const OPEN: Evaluation = { outcome: "open", reason: "" };

/** The share of the new version over all daemons; see `planConcentration` for one daemon's part. */
export function planShare(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): number {
  const step = planStep(move, evidence, now);
  return isFirstStepOverdue(move, { ...evidence, step }, now)
    ? OVERDUE_FIRST_STEP_SHARE
    : SHARE_STEPS[step];
}

/** Whether the second step is due and only too few calls keep the move at the first one. */
function isFirstStepOverdue(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): boolean {
  return evidence.step === 0 && now >= stepStartsAt(move, 1) &&
    findRegression(evidence, WARNING_ALPHA) === undefined;
}

/** The step that the evidence allows now: the current one or the next. */
export function planStep(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): number {
  const { step, stepEnteredAt } = evidence;
  const isDue = step < LAST_STEP && now >= stepStartsAt(move, step + 1) &&
    now >= stepEnteredAt + MINIMUM_STEP_MS;
  return isDue && supportsCandidate(evidence) ? step + 1 : step;
}

export function evaluateOutcome(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): EvaluationOutcome {
  return evaluateMove(move, evidence, now).outcome;
}

/** Evaluates the new version by its evidence and the deadline, with a reason for the operator. */
export function evaluateMove(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): Evaluation {
  if (durationOf(move) < MINIMUM_MOVE_MS) {
    return createBadEvaluation(
      `The deadline leaves ${
        durationOf(move)
      } ms and the steps need at least ` +
        `${MINIMUM_MOVE_MS} ms`,
    );
  }
  const regression = findRegression(evidence, BAD_ALPHA);
  if (regression !== undefined) {
    return createBadEvaluation(describeRegression(regression));
  }
  if (
    isObservationComplete(move, evidence, now) && supportsCandidate(evidence)
  ) {
    return {
      outcome: "good",
      reason: "No route was worse during the observation at share 1",
    };
  }
  if (
    now >= move.deadlineAt + DEADLINE_GRACE_MS && !evidence.hasGoodVerdict
  ) {
    return createBadEvaluation(describeMissedDeadline(evidence));
  }
  return OPEN;
}

function createBadEvaluation(reason: string): Evaluation {
  return { outcome: "bad", reason };
}

function isObservationComplete(
  move: Move,
  evidence: MoveEvidence,
  now: Milliseconds,
): boolean {
  const mayIgnoreUnreachableDomains =
    now >= move.startedAt + durationOf(move) * PARTITION_WAIT_FRACTION;
  return evidence.step === LAST_STEP &&
    now >= observationEndsAt(move, evidence.stepEnteredAt) &&
    (evidence.areAllDomainsReachable || mayIgnoreUnreachableDomains);
}

function findRegression(
  evidence: MoveEvidence,
  alpha: number,
): Regression | undefined {
  const { store, candidateHosts } = evidence;
  for (const route of store.stableTotals.keys()) {
    for (const window of ["recent", "whole"] as const) {
      const found = findRouteRegression(store, route, {
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

/** Whether every route has enough calls and none shows a regression at the warning level. */
function supportsCandidate(evidence: MoveEvidence): boolean {
  return findUndersampledRoute(evidence) === undefined &&
    findRegression(evidence, WARNING_ALPHA) === undefined;
}

interface RouteCalls {
  readonly route: RouteName;
  readonly calls: number;
}

/**
 * Finds a route with too few calls to the new version. If the service had no calls at all, the name
 * of the returned route is empty.
 */
function findUndersampledRoute(evidence: MoveEvidence): RouteCalls | undefined {
  const { store } = evidence;
  const calls = countCallsByRoute(store);
  const all = [...calls.values()].reduce((sum, count) => sum + count, 0);
  if (all === 0) {
    return { route: "", calls: 0 };
  }
  for (const [route, count] of calls) {
    if (count >= all * MINIMUM_ROUTE_FRACTION) {
      const comparable = countComparableCalls(evidence, route);
      if (comparable < MINIMUM_CALLS) {
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
 * Counts the calls to the new version from reachable failure domains, without cold ones, at a load
 * comparable to that of the replaced version. By Little's law a faster version has a lower load at
 * the same call rate, so the required load is reduced in proportion to its latency.
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
  const latencyRatio = 2 **
    ((medianBucket(rows.map((row) => row.counters)) -
      medianBucket([totals.counters])) / 2);
  const stableLoad = lowestLoadOf(medianClass(totals.counters));
  const lowestClass = classOfLoad(stableLoad * Math.min(1, latencyRatio));
  return rows.reduce(
    (sum, row) => sum + countCalls(row.counters, lowestClass),
    0,
  );
}

/** Counts the calls in a load class and the classes above it, without cold ones. */
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

function describeRegression(regression: Regression): string {
  const percent = (rate: number) => `${(rate * 100).toFixed(1)} %`;
  const what = regression.measure === "failures"
    ? "calls failed"
    : "calls were slow";
  return `Route ${regression.route}: ${percent(regression.candidateRate)} of ` +
    `${what}, and ${
      percent(regression.referenceRate)
    } with the replaced version`;
}

function describeMissedDeadline(evidence: MoveEvidence): string {
  const share = SHARE_STEPS[evidence.step];
  const undersampled = findUndersampledRoute(evidence);
  if (undersampled?.route === "") {
    return `The deadline passed at share ${share}: the service had no calls`;
  }
  const cause = undersampled === undefined
    ? "the evidence was not clear enough"
    : `route ${undersampled.route} had ${undersampled.calls} comparable calls to the new ` +
      `version, fewer than the required ${MINIMUM_CALLS}`;
  return `The deadline passed at share ${share}: ${cause}`;
}
