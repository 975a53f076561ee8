/**
 * Comparison of the two versions of a move on one route.
 *
 * Failures and slow calls are both proportions, and both are tested the same way: the new
 * version is worse when the lower bound of its proportion exceeds the upper bound of the replaced
 * version's by a margin. The bounds are confidence sequences (see `sequential_bound.ts`), so
 * looking at each tick does not raise the rate of false alarms. A call is slow when it takes
 * longer than nine in ten calls of the replaced version at the same class of load; the test needs
 * no assumption on the shape of the latencies, and a replaced version that is slow itself sets a
 * slow threshold. The reference is weighted by the classes of load at which the new version was
 * called. The difference must remain when the instance host and the observing
 * process that contribute most to it are left out, because one broken host is not a bad version.
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
/** All evidence of the move, or that of the last window only, which shows a late change. */
export type EvidenceWindow = "whole" | "recent";

export interface Difference {
  readonly route: RouteName;
  readonly measure: Measure;
  readonly window: EvidenceWindow;
  readonly candidateRate: number;
  readonly referenceRate: number;
}

export interface ComparisonOptions {
  readonly window: EvidenceWindow;
  readonly alpha: number;
  /** Hosts that are known to run the new version. */
  readonly candidateHosts: number;
}

/** Calls that a class of the replaced version needs to serve as a reference. */
const REFERENCE_CALLS = 50;
const SLOW_QUANTILE = 0.9;

/** The margins by which a proportion may exceed the reference: a factor and a difference. */
const MARGINS = {
  failures: { factor: 1.25, difference: 0.005 },
  latency: { factor: 1, difference: 0.1 },
} as const;

interface Proportion {
  readonly events: number;
  readonly trials: number;
}

/** The replaced version at one class of load. */
interface ClassReference {
  readonly failures: Proportion;
  readonly latency: Proportion;
  /** Calls in later buckets are slow. */
  readonly slowAfterBucket: number;
}

/** One row of the new version, reduced to one measure. */
interface Contribution extends Proportion {
  readonly host: string;
  readonly observer: string;
  readonly trialsByClass: readonly number[];
}

/** Finds a measure in which the new version is significantly worse on a route. */
export function findDifference(
  store: EvidenceStore,
  route: RouteName,
  options: ComparisonOptions,
): Difference | undefined {
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
  // Both are left out together, since a broken host and a broken observer can occur at a time.
  let rest = contributions;
  rest = hosts > 1 ? leaveOut(rest, "host", context) : rest;
  if (observers > 1) {
    rest = leaveOut(rest, "observer", context);
  }
  return isWorse(rest, context);
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
  // Most looks end here; the bounds cost more than the sums.
  if (events / trials <= reference.rate * factor + difference) {
    return false;
  }
  return lowerBound(events, trials, context.alpha) >
    reference.upper() * factor + difference;
}

/** Leaves out the host or observer with the most events above the reference. */
function leaveOut(
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

/** The replaced version's proportion at the mix of load classes of the new version's calls. */
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
    events: difference(counters, start, base + FAILURES_FIELD),
    trials: difference(counters, start, base + CALLS_FIELD),
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
      const count = difference(counters, start, base + bucket);
      trials += count;
      events += bucket > after ? count : 0;
    }
  }
  return { events, trials };
}

function difference(
  counters: Uint32Array,
  start: Uint32Array | undefined,
  field: number,
): number {
  return counters[field] - (start === undefined ? 0 : start[field]);
}

/**
 * The references of all classes, cold calls last. A class in which the replaced version has too
 * few calls takes the nearest one: a slow version has more calls in flight at the same rate of
 * calls, so it may be alone in its class. In the recent window a class without calls takes the
 * whole time, since at share 1 the replaced version gets no more calls.
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
    return starts.map((start) => classReference(totals.counters, start, index))
      .find(isSufficient);
  });
  const filled = classes.map((_, index) => nearest(classes, index));
  const known = filled.filter((reference) => reference !== undefined);
  if (known.length < LOAD_CLASSES) {
    return undefined;
  }
  return [...known, known[0]];
}

function isSufficient(reference: ClassReference): boolean {
  return reference.failures.trials >= REFERENCE_CALLS &&
    reference.latency.trials > 0;
}

function nearest(
  classes: readonly (ClassReference | undefined)[],
  index: number,
): ClassReference | undefined {
  const lower = classes.slice(0, index + 1).findLast((item) => item);
  return lower ?? classes.slice(index + 1).find((item) => item);
}

function classReference(
  counters: Uint32Array,
  start: Uint32Array | undefined,
  index: number,
): ClassReference {
  const base = index * CLASS_FIELDS + FIRST_BUCKET_FIELD;
  const all = slowCallsIn(counters, start, { index, after: -1 }).trials;
  let slowAfterBucket = 0;
  let below = difference(counters, start, base);
  while (below < SLOW_QUANTILE * all && slowAfterBucket < LATENCY_BUCKETS) {
    slowAfterBucket += 1;
    below += difference(counters, start, base + slowAfterBucket);
  }
  return {
    failures: failuresIn(counters, start, index),
    latency: { events: all - below, trials: all },
    slowAfterBucket,
  };
}
