/**
 * Compares the failures and latency of the target version with those of the other versions.
 *
 * Rollouts last seconds, so a decision must be possible after some tens of calls. Failures are compared
 * by the sequential bounds that moves use, and latency by the ratio of mean times, which a version
 * several times as slow exceeds after a few calls. If there are several hosts, the comparison must hold
 * without the worst one as well, because one broken host does not make a version bad.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type {
  HostName,
  RouteName,
  ServiceName,
  ServiceVersion,
} from "../../../world/common/names.ts";
import { lowerBound, upperBound } from "../../move/common/sequential_bound.ts";

/** Counters of the calls of one route at the instance of one host. They never decrease. */
export interface RouteEvidence {
  readonly route: RouteName;
  readonly calls: number;
  /** Calls that failed at the instance or got no answer. */
  readonly failures: number;
  /** Total duration of the calls that ended after the instance's cold start. */
  readonly warmMilliseconds: Milliseconds;
  readonly warmCalls: number;
}

export interface HostEvidence {
  readonly host: HostName;
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  readonly routes: readonly RouteEvidence[];
}

export interface VersionRegression {
  readonly route: RouteName;
  readonly measure: "failures" | "latency";
  readonly target: number;
  readonly reference: number;
}

/** Probability of a false positive by failures on one route. */
const TARGET_ALPHA = 1e-3;
const REFERENCE_ALPHA = 0.05;
/** The failure rate must exceed the reference by this factor plus the margin below. */
const FAILURE_RATE_FACTOR = 1.5;
const FAILURE_RATE_MARGIN = 0.04;
/** Instances of one version differ in speed by a factor of about two, so the threshold is higher. */
const LATENCY_FACTOR = 2.5;
const MINIMUM_TARGET_LATENCY_CALLS = 12;
const MINIMUM_REFERENCE_LATENCY_CALLS = 20;

/** Finds a route on which the target version is worse than all other versions together. */
export function findVersionRegression(
  evidence: readonly HostEvidence[],
  target: { readonly service: ServiceName; readonly version: ServiceVersion },
): VersionRegression | undefined {
  const ofService = evidence.filter(({ service }) =>
    service === target.service
  );
  const ofTarget = ofService.filter(({ version }) =>
    version === target.version
  );
  const others = ofService.filter(({ version }) => version !== target.version);
  // Without another version there is nothing to compare with or revert to.
  if (others.length === 0) {
    return undefined;
  }
  const routes = new Set(
    ofTarget.flatMap(({ routes }) => routes.map(({ route }) => route)),
  );
  for (const route of routes) {
    const regression = compareRoute(
      route,
      selectRows(ofTarget, route),
      sumRows(selectRows(others, route)),
    );
    if (regression !== undefined) {
      return regression;
    }
  }
  return undefined;
}

type RouteTotals = Omit<RouteEvidence, "route">;

function compareRoute(
  route: RouteName,
  targetRows: readonly RouteTotals[],
  reference: RouteTotals,
): VersionRegression | undefined {
  const total = sumRows(targetRows);
  if (
    hasMoreFailures(total, reference) &&
    hasMoreFailures(sumWithoutWorst(targetRows, countFailures), reference)
  ) {
    return {
      route,
      measure: "failures",
      target: total.failures / total.calls,
      reference: reference.failures / Math.max(1, reference.calls),
    };
  }
  if (
    isSlower(total, reference) &&
    isSlower(
      sumWithoutWorst(targetRows, ({ warmMilliseconds }) => warmMilliseconds),
      reference,
    )
  ) {
    return {
      route,
      measure: "latency",
      target: total.warmMilliseconds / total.warmCalls,
      reference: reference.warmMilliseconds / reference.warmCalls,
    };
  }
  return undefined;
}

function hasMoreFailures(target: RouteTotals, reference: RouteTotals): boolean {
  if (target.failures < 3) {
    return false;
  }
  const referenceUpperBound = reference.calls === 0
    ? 0
    : upperBound(reference.failures, reference.calls, REFERENCE_ALPHA);
  return lowerBound(target.failures, target.calls, TARGET_ALPHA) >
    Math.min(0.9, referenceUpperBound) * FAILURE_RATE_FACTOR +
      FAILURE_RATE_MARGIN;
}

function isSlower(target: RouteTotals, reference: RouteTotals): boolean {
  return target.warmCalls >= MINIMUM_TARGET_LATENCY_CALLS &&
    reference.warmCalls >= MINIMUM_REFERENCE_LATENCY_CALLS &&
    target.warmMilliseconds / target.warmCalls >
      LATENCY_FACTOR * reference.warmMilliseconds / reference.warmCalls;
}

function countFailures(row: RouteTotals): number {
  return row.failures;
}

function sumWithoutWorst(
  rows: readonly RouteTotals[],
  score: (row: RouteTotals) => number,
): RouteTotals {
  if (rows.length < 2) {
    return sumRows(rows);
  }
  const worst = rows.reduce((left, right) =>
    score(right) > score(left) ? right : left
  );
  return sumRows(rows.filter((row) => row !== worst));
}

function selectRows(
  evidence: readonly HostEvidence[],
  route: RouteName,
): RouteTotals[] {
  return evidence.flatMap(({ routes }) =>
    routes.filter((row) => row.route === route)
  );
}

function sumRows(rows: readonly RouteTotals[]): RouteTotals {
  const sums = { calls: 0, failures: 0, warmMilliseconds: 0, warmCalls: 0 };
  for (const row of rows) {
    sums.calls += row.calls;
    sums.failures += row.failures;
    sums.warmMilliseconds += row.warmMilliseconds;
    sums.warmCalls += row.warmCalls;
  }
  return sums;
}
