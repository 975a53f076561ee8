/**
 * Store of versioned records with digests of constant size, by which two replicas find out which
 * records differ without sending all of them.
 *
 * @module
 */

import { hashText } from "../../../base/common/hashing.ts";

/** The version of a record. Stamps are compared number by number; the first difference decides. */
export type Stamp = readonly number[];

/** The key of a record and its stamp, as replicas exchange them. */
export type StampEntry = readonly [key: string, ...stamp: number[]];

/** With 64 buckets, a change affects one bucket, which holds about 5 of 320 records. */
export const DIGEST_BUCKETS = 64;

export interface RecordKind<T> {
  keyOf(record: T): string;
  stampOf(record: T): Stamp;
  /**
   * Whether the record is part of the digests. Records that replicas remove at different times are
   * left out.
   */
  isInDigest(record: T): boolean;
}

export interface RecordStore<T> {
  readonly size: number;
  values(): IterableIterator<T>;
  get(key: string): T | undefined;
  /** Stores a record that is newer than the stored one. Returns whether it was stored. */
  merge(record: T): boolean;
  /** Replaces a stored record by one with the same stamp. */
  refresh(record: T): void;
  remove(key: string): void;
  readonly digest: number;
  bucketDigests(): number[];
  /** The buckets whose digests differ from those of another replica. */
  findDifferences(theirs: readonly number[]): number[];
  stampsIn(buckets: readonly number[]): StampEntry[];
  /**
   * Compares the records of the buckets with the stamps of another replica, which lists all its
   * records of these buckets. Returns the records that are newer here and the keys to request.
   */
  compare(
    buckets: readonly number[],
    theirs: readonly StampEntry[],
  ): { newer: T[]; wanted: string[] };
}

/** Whether the first stamp is newer than the second. */
export function isNewer(first: Stamp, second: Stamp): boolean {
  for (let index = 0; index < first.length; index += 1) {
    if (first[index] !== second[index]) {
      return first[index] > second[index];
    }
  }
  return false;
}

export function createRecordStore<T>(kind: RecordKind<T>): RecordStore<T> {
  interface Entry {
    record: T;
    readonly bucket: number;
    readonly hash: number;
  }
  const entries = new Map<string, Entry>();
  const buckets = new Uint32Array(DIGEST_BUCKETS);
  let digest = 0;

  function toggleInDigest(entry: Entry): void {
    buckets[entry.bucket] ^= entry.hash;
    digest = (digest ^ entry.hash) >>> 0;
  }

  function createEntry(key: string, record: T): Entry {
    const text = `${key}|${kind.stampOf(record).join("|")}`;
    return {
      record,
      bucket: hashText(key) % DIGEST_BUCKETS,
      hash: kind.isInDigest(record) ? hashText(text) : 0,
    };
  }

  function* recordsIn(wanted: readonly number[]): Generator<[string, T]> {
    const set = new Set(wanted);
    for (const [key, { bucket, record }] of entries) {
      if (set.has(bucket)) {
        yield [key, record];
      }
    }
  }

  return {
    get size() {
      return entries.size;
    },
    *values() {
      for (const { record } of entries.values()) {
        yield record;
      }
    },
    get: (key) => entries.get(key)?.record,
    merge(record) {
      const key = kind.keyOf(record);
      const existing = entries.get(key);
      if (existing !== undefined) {
        if (!isNewer(kind.stampOf(record), kind.stampOf(existing.record))) {
          return false;
        }
        toggleInDigest(existing);
      }
      const entry = createEntry(key, record);
      entries.set(key, entry);
      toggleInDigest(entry);
      return true;
    },
    refresh(record) {
      const entry = entries.get(kind.keyOf(record));
      if (entry !== undefined) {
        entry.record = record;
      }
    },
    remove(key) {
      const existing = entries.get(key);
      if (existing !== undefined) {
        toggleInDigest(existing);
        entries.delete(key);
      }
    },
    get digest() {
      return digest;
    },
    bucketDigests: () => [...buckets],
    findDifferences: (theirs) =>
      [...buckets.keys()].filter((bucket) =>
        buckets[bucket] !== theirs[bucket]
      ),
    stampsIn: (wanted) =>
      [...recordsIn(wanted)].map(([key, record]): StampEntry => [
        key,
        ...kind.stampOf(record),
      ]),
    compare(wanted, theirs) {
      const stamps = new Map(theirs.map(([key, ...stamp]) => [key, stamp]));
      const newer = [...recordsIn(wanted)].filter(([key, record]) => {
        const stamp = stamps.get(key);
        return stamp === undefined
          ? kind.isInDigest(record)
          : isNewer(kind.stampOf(record), stamp);
      });
      const missing = [...stamps].filter(([key, stamp]) => {
        const existing = entries.get(key)?.record;
        return existing === undefined || isNewer(stamp, kind.stampOf(existing));
      });
      return {
        newer: newer.map(([, record]) => record),
        wanted: missing.map(([key]) => key),
      };
    },
  };
}
