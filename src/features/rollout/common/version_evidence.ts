/**
 * What gates have seen of the versions of a service, and whether a version is worse than another.
 *
 * Rollouts here last seconds, so a verdict must come from some tens of calls. Failures are judged
 * by the sequential bounds that moves use; slowness by the ratio of mean times, which a version
 * that takes several times as long exceeds after a few calls. The host that looks worst is left
 * out where there is another, because one broken host is not a bad version.
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

/** The calls of one route at the instance of one host. Counters only grow. */
export interface RouteEvidence {
  readonly route: RouteName;
  readonly calls: number;
  /** Calls that the instance failed, or did not answer. */
  readonly failures: number;
  /** The sum of the times of the calls that ended after the instance's cold start. */
  readonly warmMilliseconds: Milliseconds;
  readonly warmCalls: number;
}

export interface HostEvidence {
  readonly host: HostName;
  readonly service: ServiceName;
  readonly version: ServiceVersion;
  readonly routes: readonly RouteEvidence[];
}

export interface VersionDifference {
  readonly route: RouteName;
  readonly measure: "failures" | "latency";
  readonly target: number;
  readonly reference: number;
}

/** Chance of a false alarm by failures on one route. */
const TARGET_ALPHA = 1e-3;
const REFERENCE_ALPHA = 0.05;
/** The margins by which the rate of failures must exceed the reference. */
const FAILURE_FACTOR = 1.5;
const FAILURE_DIFFERENCE = 0.04;
/** Instances of one version differ in speed by a factor of about two. */
const SLOW_FACTOR = 2.5;
const SLOW_CALLS = 12;
const REFERENCE_CALLS = 20;

/** Finds a route on which the target version is worse than all others of the service. */
export function findVersionDifference(
  evidence: readonly HostEvidence[],
  target: { readonly service: ServiceName; readonly version: ServiceVersion },
): VersionDifference | undefined {
  const ofService = evidence.filter(({ service }) =>
    service === target.service
  );
  const ofTarget = ofService.filter(({ version }) =>
    version === target.version
  );
  const others = ofService.filter(({ version }) => version !== target.version);
  // Without another version there is nothing to compare with and nothing to go back to.
  if (others.length === 0) {
    return undefined;
  }
  const routes = new Set(
    ofTarget.flatMap(({ routes }) => routes.map(({ route }) => route)),
  );
  for (const route of routes) {
    const difference = compareRoute(
      route,
      rowsOf(ofTarget, route),
      sumRows(rowsOf(others, route)),
    );
    if (difference !== undefined) {
      return difference;
    }
  }
  return undefined;
}

type Sums = Omit<RouteEvidence, "route">;

function compareRoute(
  route: RouteName,
  targetRows: readonly Sums[],
  reference: Sums,
): VersionDifference | undefined {
  const whole = sumRows(targetRows);
  if (
    hasMoreFailures(whole, reference) &&
    hasMoreFailures(withoutWorst(targetRows, failureExcess), reference)
  ) {
    return {
      route,
      measure: "failures",
      target: whole.failures / whole.calls,
      reference: reference.failures / Math.max(1, reference.calls),
    };
  }
  if (
    isSlower(whole, reference) &&
    isSlower(
      withoutWorst(targetRows, ({ warmMilliseconds }) => warmMilliseconds),
      reference,
    )
  ) {
    return {
      route,
      measure: "latency",
      target: whole.warmMilliseconds / whole.warmCalls,
      reference: reference.warmMilliseconds / reference.warmCalls,
    };
  }
  return undefined;
}

function hasMoreFailures(target: Sums, reference: Sums): boolean {
  if (target.failures < 3) {
    return false;
  }
  const most = reference.calls === 0
    ? 0
    : upperBound(reference.failures, reference.calls, REFERENCE_ALPHA);
  return lowerBound(target.failures, target.calls, TARGET_ALPHA) >
    Math.min(0.9, most) * FAILURE_FACTOR + FAILURE_DIFFERENCE;
}

function isSlower(target: Sums, reference: Sums): boolean {
  return target.warmCalls >= SLOW_CALLS &&
    reference.warmCalls >= REFERENCE_CALLS &&
    target.warmMilliseconds / target.warmCalls >
      SLOW_FACTOR * reference.warmMilliseconds / reference.warmCalls;
}

function failureExcess(row: Sums): number {
  return row.failures;
}

function withoutWorst(
  rows: readonly Sums[],
  badness: (row: Sums) => number,
): Sums {
  if (rows.length < 2) {
    return sumRows(rows);
  }
  const worst = rows.reduce((left, right) =>
    badness(right) > badness(left) ? right : left
  );
  return sumRows(rows.filter((row) => row !== worst));
}

function rowsOf(evidence: readonly HostEvidence[], route: RouteName): Sums[] {
  return evidence.flatMap(({ routes }) =>
    routes.filter((row) => row.route === route)
  );
}

function sumRows(rows: readonly Sums[]): Sums {
  const sums = { calls: 0, failures: 0, warmMilliseconds: 0, warmCalls: 0 };
  for (const row of rows) {
    sums.calls += row.calls;
    sums.failures += row.failures;
    sums.warmMilliseconds += row.warmMilliseconds;
    sums.warmCalls += row.warmCalls;
  }
  return sums;
}
