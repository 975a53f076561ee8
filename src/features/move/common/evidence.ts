/**
 * Evidence counters of a move. A row belongs to one observing process and only grows, so rows
 * from several sources merge by the maximum of each counter, in any order and any number of times.
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

/** Which of the two versions of a move a row counts. */
export type VersionSide = "stable" | "candidate";

/** Load at the instance, calls in flight by slots, at which the next class begins. */
const LOAD_CLASS_LIMITS = [0.3, 0.7];
/** The classes of load: quiet, normal, high. */
export const LOAD_CLASSES = 3;
/** The class of calls to a host that this observer has only just begun to use. */
export const COLD_CLASS = LOAD_CLASSES;

/** Buckets grow by the square root of two from 1 ms to 4 s; the last one is open. */
export const LATENCY_BUCKETS = 25;

export const CALLS_FIELD = 0;
export const FAILURES_FIELD = 1;
export const FIRST_BUCKET_FIELD = 2;
/** Fields of one class of load: calls, failures, latency buckets of successful calls. */
export const CLASS_FIELDS = FIRST_BUCKET_FIELD + LATENCY_BUCKETS;
/** The cold class has no latency buckets, because a cold start is slow in any version. */
export const ROW_FIELDS = LOAD_CLASSES * CLASS_FIELDS + FIRST_BUCKET_FIELD;

/**
 * How long a host must have been in use by the observer before its latency counts. A new instance
 * compiles code and fills caches and pools with its first calls.
 */
const COLD_START_MS: Milliseconds = 2_000;
/**
 * A pause counts as use for no longer than this. A host that gets short bursts is still cold after
 * some seconds, since it has had few calls.
 */
const LONGEST_PAUSE_MS: Milliseconds = 250;

/** Rows kept per move, so that evidence stays within a few megabytes. */
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
  /** The counters at the start of the recent window; undefined when the row is newer. */
  windowStart: Uint32Array | undefined;
  lastRotation: Uint32Array | undefined;
  /** Rises with every growth of the row, to find what a peer lacks. */
  revision: number;
}

/** Sums over all rows of one route on the stable side. */
export interface StableTotals {
  readonly counters: Uint32Array;
  windowStart: Uint32Array;
  lastRotation: Uint32Array;
}

/** How much the observer has used a host since its first call to it. */
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

/** The lowest load of a class. */
export function lowestLoadOf(loadClass: number): number {
  return loadClass === 0 ? 0 : LOAD_CLASS_LIMITS[loadClass - 1];
}

/**
 * Counts an attempt. Shed and cancelled attempts are no evidence: shedding follows the load that
 * the routing causes, and a cancelled call ended for a reason outside the instance.
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
  const isCold = useHost(store, sample.host, now) < COLD_START_MS;
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

/** Takes the maximum of each counter. Returns whether the row grew. */
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

/** Starts a new recent window; the previous rotation becomes its start. */
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

/** Adds a call to the use of a host and returns how long it has been in use. */
function useHost(
  store: EvidenceStore,
  host: HostName,
  now: Milliseconds,
): Milliseconds {
  let use = store.hostUses.get(host);
  if (use === undefined) {
    use = { usedMilliseconds: 0, lastCallAt: now };
    store.hostUses.set(host, use);
  }
  use.usedMilliseconds += Math.min(LONGEST_PAUSE_MS, now - use.lastCallAt);
  use.lastCallAt = now;
  return use.usedMilliseconds;
}
