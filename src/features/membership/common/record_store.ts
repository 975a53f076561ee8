/**
 * Versioned records with a digest of constant size, so that two holders find out cheaply which
 * records one of them lacks.
 *
 * @module
 */

import { hashText } from "../../../base/common/hashing.ts";

/** Numbers that order the versions of one record; the first difference decides. */
export type Stamp = readonly number[];

/** The key of a record and its stamp, as holders compare them. */
export type StampEntry = readonly [key: string, ...stamp: number[]];

/** Enough buckets that a single change concerns about 5 of 320 records. */
export const DIGEST_BUCKETS = 64;

export interface RecordKind<T> {
  keyOf(record: T): string;
  stampOf(record: T): Stamp;
  /** Records that are not counted may be forgotten by holders at different times. */
  isCounted(record: T): boolean;
}

export interface RecordStore<T> {
  readonly size: number;
  values(): IterableIterator<T>;
  get(key: string): T | undefined;
  /** Takes a record that is newer than the present one. Returns whether it was taken. */
  merge(record: T): boolean;
  /** Replaces a record by one with the same stamp. */
  refresh(record: T): void;
  remove(key: string): void;
  readonly digest: number;
  bucketDigests(): number[];
  /** The buckets whose digests differ from those of another holder. */
  findDifferences(theirs: readonly number[]): number[];
  stampsIn(buckets: readonly number[]): StampEntry[];
  /** Compares the stamps of another holder, who listed all its records of the buckets. */
  compare(
    buckets: readonly number[],
    theirs: readonly StampEntry[],
  ): { newer: T[]; wanted: string[] };
}

/** Whether the first stamp is newer. */
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

  function count(entry: Entry): void {
    buckets[entry.bucket] ^= entry.hash;
    digest = (digest ^ entry.hash) >>> 0;
  }

  function createEntry(key: string, record: T): Entry {
    const text = `${key}|${kind.stampOf(record).join("|")}`;
    return {
      record,
      bucket: hashText(key) % DIGEST_BUCKETS,
      hash: kind.isCounted(record) ? hashText(text) : 0,
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
      const present = entries.get(key);
      if (present !== undefined) {
        if (!isNewer(kind.stampOf(record), kind.stampOf(present.record))) {
          return false;
        }
        count(present);
      }
      const entry = createEntry(key, record);
      entries.set(key, entry);
      count(entry);
      return true;
    },
    refresh(record) {
      const entry = entries.get(kind.keyOf(record));
      if (entry !== undefined) {
        entry.record = record;
      }
    },
    remove(key) {
      const present = entries.get(key);
      if (present !== undefined) {
        count(present);
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
          ? kind.isCounted(record)
          : isNewer(kind.stampOf(record), stamp);
      });
      const missing = [...stamps].filter(([key, stamp]) => {
        const present = entries.get(key)?.record;
        return present === undefined || isNewer(stamp, kind.stampOf(present));
      });
      return {
        newer: newer.map(([, record]) => record),
        wanted: missing.map(([key]) => key),
      };
    },
  };
}
