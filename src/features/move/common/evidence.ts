/**
 * Evidence counters of a move. The counters of a row are written by one observing process and only
 * grow, so copies of a row are merged by taking the maximum of each counter, in any order and any
 * number of times.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  formatProcess,
  type HostIdentity,
} from "../../../world/common/host.ts";
import type {
  FailureDomainName,
  HostName,
  RouteName,
} from "../../../world/common/names.ts";
import type { AttemptSample } from "./traffic_shift.ts";

/** The version of a move that a row counts: `stable` is the replaced one, `candidate` the new one. */
export type VersionSide = "stable" | "candidate";

/** Lower bounds of the load classes normal and high. Load is calls in flight divided by slots. */
const LOAD_CLASS_LIMITS = [0.3, 0.7];
/** The number of load classes: low, normal, high. */
export const LOAD_CLASSES = 3;
/** The class of calls to a host that is in its cold start for this observer. */
export const COLD_CLASS = LOAD_CLASSES;

/** Bucket limits grow by a factor of the square root of two from 1 ms to 4 s; the last is unbounded. */
export const LATENCY_BUCKETS = 25;

export const CALLS_FIELD = 0;
export const FAILURES_FIELD = 1;
export const FIRST_BUCKET_FIELD = 2;
/** The fields of one load class: calls, failures, latency buckets of successful calls. */
export const CLASS_FIELDS = FIRST_BUCKET_FIELD + LATENCY_BUCKETS;
/** The cold class has no latency buckets, because a cold start is slow in any version. */
export const ROW_FIELDS = LOAD_CLASSES * CLASS_FIELDS + FIRST_BUCKET_FIELD;

/**
 * How long the observer must have used a host before its latency counts. During its first calls, a
 * new instance compiles code and fills caches and pools.
 */
const COLD_START_MS: Milliseconds = 2_000;
/**
 * The maximum part of a pause between calls that counts as use. A host that gets short bursts is
 * still cold after some seconds, because it has had few calls.
 */
const MAXIMUM_COUNTED_PAUSE_MS: Milliseconds = 250;

/** The maximum number of rows per move, which limits evidence to a few megabytes. */
const MAXIMUM_ROWS = 4_096;

export interface RowKey {
  readonly side: VersionSide;
  readonly route: RouteName;
  /** The host of the upstream instance. */
  readonly host: HostName;
  /** The daemon process that made the calls. */
  readonly observer: string;
  readonly observerDomain: FailureDomainName;
}

export interface EvidenceRow extends RowKey {
  readonly counters: Uint32Array;
  /** The counters at the start of the recent window; undefined if the row is newer. */
  windowStart: Uint32Array | undefined;
  lastRotation: Uint32Array | undefined;
  /** Increases whenever a counter grows, to find the rows that a peer lacks. */
  revision: number;
}

/** Sums over all rows of one route on the stable side. */
export interface StableTotals {
  readonly counters: Uint32Array;
  windowStart: Uint32Array;
  lastRotation: Uint32Array;
}

/** How long the observer has used a host since its first call to it. */
export interface HostUse {
  usedMilliseconds: Milliseconds;
  lastCallAt: Milliseconds;
}

export interface EvidenceStore {
  readonly rows: Map<string, EvidenceRow>;
  readonly stableTotals: Map<RouteName, StableTotals>;
  readonly hostUses: Map<HostName, HostUse>;
  revision: number;
}

export function createEvidenceStore(): EvidenceStore {
  return {
    rows: new Map(),
    stableTotals: new Map(),
    hostUses: new Map(),
    revision: 0,
  };
}

export function bucketOfLatency(duration: Milliseconds): number {
  if (!(duration > 1)) {
    return 0;
  }
  return Math.min(LATENCY_BUCKETS - 1, Math.ceil(2 * Math.log2(duration)));
}

export function classOfLoad(load: number): number {
  const index = LOAD_CLASS_LIMITS.findIndex((limit) => load < limit);
  return index < 0 ? LOAD_CLASS_LIMITS.length : index;
}

/** The lower bound of a load class. */
export function lowestLoadOf(loadClass: number): number {
  return loadClass === 0 ? 0 : LOAD_CLASS_LIMITS[loadClass - 1];
}

/**
 * Counts an attempt. Shed and cancelled attempts are ignored: shedding depends on the load that
 * routing causes, and a cancelled call ended for a reason outside the instance.
 */
export function recordSample(
  store: EvidenceStore,
  sample: AttemptSample,
  options: {
    readonly side: VersionSide;
    readonly observer: HostIdentity;
    readonly now: Milliseconds;
  },
): void {
  if (sample.result === "shed" || sample.result === "cancelled") {
    return;
  }
  const { side, observer, now } = options;
  const row = findOrAddRow(store, {
    side,
    route: sample.route,
    host: sample.host,
    observer: formatProcess(observer.process),
    observerDomain: observer.failureDomain,
  });
  if (row === undefined) {
    return;
  }
  const isCold = recordHostUse(store, sample.host, now) < COLD_START_MS;
  const base = (isCold ? COLD_CLASS : classOfLoad(sample.load)) * CLASS_FIELDS;
  const fields = [base + CALLS_FIELD];
  if (sample.result === "failure") {
    fields.push(base + FAILURES_FIELD);
  } else if (!isCold) {
    fields.push(
      base + FIRST_BUCKET_FIELD + bucketOfLatency(sample.durationMilliseconds),
    );
  }
  const totals = side === "stable" ? totalsOf(store, sample.route) : undefined;
  for (const field of fields) {
    row.counters[field] += 1;
    if (totals !== undefined) {
      totals.counters[field] += 1;
    }
  }
  store.revision += 1;
  row.revision = store.revision;
}

/** Merges counters into a row by their maximum. Returns whether a counter grew. */
export function mergeRow(
  store: EvidenceStore,
  key: RowKey,
  counters: ReadonlyMap<number, number>,
): boolean {
  const row = findOrAddRow(store, key);
  if (row === undefined) {
    return false;
  }
  const totals = key.side === "stable" ? totalsOf(store, key.route) : undefined;
  let grew = false;
  for (const [field, value] of counters) {
    const growth = value - row.counters[field];
    if (growth > 0) {
      row.counters[field] = value;
      if (totals !== undefined) {
        totals.counters[field] += growth;
      }
      grew = true;
    }
  }
  if (grew) {
    store.revision += 1;
    row.revision = store.revision;
  }
  return grew;
}

/** Moves the start of the recent window to the previous rotation. */
export function rotateWindow(store: EvidenceStore): void {
  const counted = [...store.rows.values(), ...store.stableTotals.values()];
  for (const item of counted) {
    item.windowStart = item.lastRotation;
    item.lastRotation = item.counters.slice();
  }
  for (const totals of store.stableTotals.values()) {
    totals.windowStart ??= new Uint32Array(ROW_FIELDS);
  }
}

export function identifyRow(key: RowKey): string {
  return `${key.side}|${key.route}|${key.host}|${key.observer}`;
}

function findOrAddRow(
  store: EvidenceStore,
  key: RowKey,
): EvidenceRow | undefined {
  const identity = identifyRow(key);
  const known = store.rows.get(identity);
  if (known !== undefined || store.rows.size >= MAXIMUM_ROWS) {
    return known;
  }
  const row: EvidenceRow = {
    ...key,
    counters: new Uint32Array(ROW_FIELDS),
    windowStart: undefined,
    lastRotation: undefined,
    revision: 0,
  };
  store.rows.set(identity, row);
  return row;
}

function totalsOf(store: EvidenceStore, route: RouteName): StableTotals {
  let totals = store.stableTotals.get(route);
  if (totals === undefined) {
    totals = {
      counters: new Uint32Array(ROW_FIELDS),
      windowStart: new Uint32Array(ROW_FIELDS),
      lastRotation: new Uint32Array(ROW_FIELDS),
    };
    store.stableTotals.set(route, totals);
  }
  return totals;
}

/** Records a call to a host and returns how long the host has been in use. */
function recordHostUse(
  store: EvidenceStore,
  host: HostName,
  now: Milliseconds,
): Milliseconds {
  let use = store.hostUses.get(host);
  if (use === undefined) {
    use = { usedMilliseconds: 0, lastCallAt: now };
    store.hostUses.set(host, use);
  }
  use.usedMilliseconds += Math.min(
    MAXIMUM_COUNTED_PAUSE_MS,
    now - use.lastCallAt,
  );
  use.lastCallAt = now;
  return use.usedMilliseconds;
}
