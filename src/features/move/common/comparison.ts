/**
 * Compares the two versions of a move on one route.
 *
 * Failures and slow calls are both proportions and are tested the same way: the new version is
 * worse if the lower bound of its proportion exceeds the upper bound of the replaced version's by a
 * margin. The bounds are confidence sequences (see `sequential_bound.ts`), so testing at each tick
 * does not raise the rate of false alarms. A call is slow if it takes longer than the 90th
 * percentile of the replaced version in the same load class. This needs no assumption on the
 * latency distribution, and a slow replaced version raises the threshold. The reference is weighted
 * by the load classes in which the new version was called. The difference must remain when the
 * instance host and the observing process that contribute most to it are excluded, because one
 * broken host is not a bad version.
 *
 * @module
 */

import type { RouteName } from "../../../world/common/names.ts";
import {
  CALLS_FIELD,
  CLASS_FIELDS,
  COLD_CLASS,
  type EvidenceRow,
  type EvidenceStore,
  FAILURES_FIELD,
  FIRST_BUCKET_FIELD,
  LATENCY_BUCKETS,
  LOAD_CLASSES,
} from "./evidence.ts";
import { lowerBound, upperBound } from "./sequential_bound.ts";

export type Measure = "failures" | "latency";
/** All evidence of the move, or only the last window, which reveals a late change. */
export type EvidenceWindow = "whole" | "recent";

export interface Regression {
  readonly route: RouteName;
  readonly measure: Measure;
  readonly window: EvidenceWindow;
  readonly candidateRate: number;
  readonly referenceRate: number;
}

export interface ComparisonOptions {
  readonly window: EvidenceWindow;
  readonly alpha: number;
  /** The number of hosts known to run the new version. */
  readonly candidateHosts: number;
}

/** Calls of the replaced version that a load class needs to serve as a reference. */
const MINIMUM_REFERENCE_CALLS = 50;
const SLOW_QUANTILE = 0.9;

/** How far a proportion may exceed the reference: a factor and an absolute difference. */
const MARGINS = {
  failures: { factor: 1.25, difference: 0.005 },
  latency: { factor: 1, difference: 0.1 },
} as const;

interface Proportion {
  readonly events: number;
  readonly trials: number;
}

/** The proportions of the replaced version in one load class. */
interface ClassReference {
  readonly failures: Proportion;
  readonly latency: Proportion;
  /** Calls in later buckets are slow. */
  readonly slowAfterBucket: number;
}

/** The counts of one row of the new version for one measure. */
interface Contribution extends Proportion {
  readonly host: string;
  readonly observer: string;
  readonly trialsByClass: readonly number[];
}

/** Finds a measure in which the new version is significantly worse on a route; undefined if none. */
export function findRouteRegression(
  store: EvidenceStore,
  route: RouteName,
  options: ComparisonOptions,
): Regression | undefined {
  const references = buildReferences(store, route, options.window);
  if (references === undefined) {
    return undefined;
  }
  const rows = [...store.rows.values()].filter((row) =>
    row.side === "candidate" && row.route === route
  );
  for (const measure of ["failures", "latency"] as const) {
    const contributions = rows.map((row) =>
      contributionOf(row, { measure, references, window: options.window })
    ).filter(({ trials }) => trials > 0);
    const context = { measure, references, ...options };
    if (isWorseWithoutOutlier(contributions, context)) {
      const reference = referenceOf(contributions, context);
      const total = sumOf(contributions);
      return {
        route,
        measure,
        window: options.window,
        candidateRate: total.events / total.trials,
        referenceRate: reference.rate,
      };
    }
  }
  return undefined;
}

interface TestContext extends ComparisonOptions {
  readonly measure: Measure;
  readonly references: readonly ClassReference[];
}

function isWorseWithoutOutlier(
  contributions: readonly Contribution[],
  context: TestContext,
): boolean {
  if (!isWorse(contributions, context)) {
    return false;
  }
  const hosts = countDistinct(contributions, "host");
  const observers = countDistinct(contributions, "observer");
  if (hosts === 1 && context.candidateHosts > 1) {
    return false;
  }
  // Both are excluded together, since a host and an observer can be broken at the same time.
  let remaining = contributions;
  remaining = hosts > 1 ? excludeWorst(remaining, "host", context) : remaining;
  if (observers > 1) {
    remaining = excludeWorst(remaining, "observer", context);
  }
  return isWorse(remaining, context);
}

function countDistinct(
  contributions: readonly Contribution[],
  key: "host" | "observer",
): number {
  return new Set(contributions.map((item) => item[key])).size;
}

function isWorse(
  contributions: readonly Contribution[],
  context: TestContext,
): boolean {
  const { events, trials } = sumOf(contributions);
  if (trials === 0) {
    return false;
  }
  const { factor, difference } = MARGINS[context.measure];
  const reference = referenceOf(contributions, context);
  // Most tests end here; the bounds cost more than the sums.
  if (events / trials <= reference.rate * factor + difference) {
    return false;
  }
  return lowerBound(events, trials, context.alpha) >
    reference.upper() * factor + difference;
}

/** Excludes the host or observer with the most events above the reference rate. */
function excludeWorst(
  contributions: readonly Contribution[],
  key: "host" | "observer",
  context: TestContext,
): Contribution[] {
  const { rate } = referenceOf(contributions, context);
  const excesses = new Map<string, number>();
  for (const item of contributions) {
    const excess = item.events - rate * item.trials;
    excesses.set(item[key], (excesses.get(item[key]) ?? 0) + excess);
  }
  const [worst] = [...excesses].reduce((left, right) =>
    right[1] > left[1] ? right : left
  );
  return contributions.filter((item) => item[key] !== worst);
}

function sumOf(contributions: readonly Proportion[]): Proportion {
  let events = 0;
  let trials = 0;
  for (const item of contributions) {
    events += item.events;
    trials += item.trials;
  }
  return { events, trials };
}

/** The replaced version's proportion, weighted by the load classes of the new version's calls. */
function referenceOf(
  contributions: readonly Contribution[],
  { measure, references, alpha }: TestContext,
): { rate: number; upper(): number } {
  const { trials } = sumOf(contributions);
  const weights = references.map((_, index) =>
    contributions.reduce((sum, item) => sum + item.trialsByClass[index], 0) /
    trials
  );
  const weighted = (value: (item: Proportion) => number) =>
    references.reduce(
      (sum, reference, index) =>
        weights[index] === 0
          ? sum
          : sum + weights[index] * value(reference[measure]),
      0,
    );
  return {
    rate: weighted(({ events, trials }) => trials === 0 ? 1 : events / trials),
    upper: () =>
      weighted(({ events, trials }) =>
        trials === 0 ? 1 : upperBound(events, trials, alpha)
      ),
  };
}

function contributionOf(
  row: EvidenceRow,
  { measure, references, window }: {
    readonly measure: Measure;
    readonly references: readonly ClassReference[];
    readonly window: EvidenceWindow;
  },
): Contribution {
  const start = window === "recent" ? row.windowStart : undefined;
  const trialsByClass: number[] = [];
  let events = 0;
  let trials = 0;
  references.forEach((reference, index) => {
    const counted = measure === "failures"
      ? failuresIn(row.counters, start, index)
      : slowCallsIn(row.counters, start, {
        index,
        after: reference.slowAfterBucket,
      });
    trialsByClass.push(counted.trials);
    events += counted.events;
    trials += counted.trials;
  });
  return {
    host: row.host,
    observer: row.observer,
    events,
    trials,
    trialsByClass,
  };
}

function failuresIn(
  counters: Uint32Array,
  start: Uint32Array | undefined,
  index: number,
): Proportion {
  const base = index * CLASS_FIELDS;
  return {
    events: countSince(counters, start, base + FAILURES_FIELD),
    trials: countSince(counters, start, base + CALLS_FIELD),
  };
}

function slowCallsIn(
  counters: Uint32Array,
  start: Uint32Array | undefined,
  { index, after }: { readonly index: number; readonly after: number },
): Proportion {
  let events = 0;
  let trials = 0;
  if (index !== COLD_CLASS) {
    const base = index * CLASS_FIELDS + FIRST_BUCKET_FIELD;
    for (let bucket = 0; bucket < LATENCY_BUCKETS; bucket += 1) {
      const count = countSince(counters, start, base + bucket);
      trials += count;
      events += bucket > after ? count : 0;
    }
  }
  return { events, trials };
}

function countSince(
  counters: Uint32Array,
  start: Uint32Array | undefined,
  field: number,
): number {
  return counters[field] - (start === undefined ? 0 : start[field]);
}

/**
 * The references of all load classes, cold calls last. A class with too few calls of the replaced
 * version uses the nearest class that has enough, lower ones first: a slow version has more calls
 * in flight at the same call rate, so it may be the only one in its class. In the recent window, a
 * class with too few calls uses the whole move, since at share 1 the replaced version gets no calls.
 */
function buildReferences(
  store: EvidenceStore,
  route: RouteName,
  window: EvidenceWindow,
): ClassReference[] | undefined {
  const totals = store.stableTotals.get(route);
  if (totals === undefined) {
    return undefined;
  }
  const classes = Array.from({ length: LOAD_CLASSES }, (_, index) => {
    const starts = window === "recent"
      ? [totals.windowStart, undefined]
      : [undefined];
    return starts.map((start) =>
      buildClassReference(totals.counters, start, index)
    )
      .find(isSufficient);
  });
  const filledClasses = classes.map((_, index) => findNearest(classes, index));
  const known = filledClasses.filter((reference) => reference !== undefined);
  if (known.length < LOAD_CLASSES) {
    return undefined;
  }
  return [...known, known[0]];
}

function isSufficient(reference: ClassReference): boolean {
  return reference.failures.trials >= MINIMUM_REFERENCE_CALLS &&
    reference.latency.trials > 0;
}

function findNearest(
  classes: readonly (ClassReference | undefined)[],
  index: number,
): ClassReference | undefined {
  const lower = classes.slice(0, index + 1).findLast((item) => item);
  return lower ?? classes.slice(index + 1).find((item) => item);
}

function buildClassReference(
  counters: Uint32Array,
  start: Uint32Array | undefined,
  index: number,
): ClassReference {
  const base = index * CLASS_FIELDS + FIRST_BUCKET_FIELD;
  const all = slowCallsIn(counters, start, { index, after: -1 }).trials;
  let slowAfterBucket = 0;
  let below = countSince(counters, start, base);
  while (below < SLOW_QUANTILE * all && slowAfterBucket < LATENCY_BUCKETS) {
    slowAfterBucket += 1;
    below += countSince(counters, start, base + slowAfterBucket);
  }
  return {
    failures: failuresIn(counters, start, index),
    latency: { events: all - below, trials: all },
    slowAfterBucket,
  };
}
