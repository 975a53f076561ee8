/**
 * A daemon's copy of the newest record of each key that the operator has written.
 *
 * When the store comes back from an older copy of itself, records appear again that later ones had replaced. They are
 * kept, since they are what the store has, but they don't take effect again (`supersededKeys`).
 *
 * @module
 */

import type { MeshStore } from "./mesh_store.ts";

/** A record in the operator's log. Its value is sent to peers as the bytes that were read. */
export interface OperatorRecord {
  readonly key: string;
  readonly offset: number;
  /** Empty if the key was removed. */
  readonly value: Uint8Array;
}

/** The newest record of each key that was written from the offset `from` to `position`. */
export interface RecordRange {
  readonly records: readonly OperatorRecord[];
  /** {@linkcode NO_POSITION} if the range includes the newest record of every key. */
  readonly from: number;
  readonly position: number;
}

/** What the copy has to know of the store. */
export type RecordRules = Pick<MeshStore, "locate" | "isPermanent">;

/** The position before any record has been read. */
export const NO_POSITION = -1;

/** How many earlier records of a key are told from new ones; the copy of the store lacks a few seconds. */
const MAXIMUM_REPLACED_RECORDS = 8;

/**
 * A removal that was not read from the log, but found by a missing key, lies halfway before the position of the read:
 * after all records that the read contains, before the next one, and at the offset of none. Deltas name their base by
 * its offset, so that no other record may have the same one.
 */
const MISSING_KEY_OFFSET = -0.5;

export interface ApplyOptions {
  /** Whether the range contains every key of the store, so that a missing one was removed. */
  readonly isComplete?: boolean;
}

export interface OperatorRecords {
  /** The offset of the next record to read. */
  readonly position: number;
  /**
   * Applies records; returns those that are newer than the stored ones and take effect. A range of an older era than
   * that of the position changes nothing.
   */
  apply(
    range: RecordRange,
    options?: ApplyOptions,
  ): readonly OperatorRecord[];
  /** The newest record of a key. */
  find(key: string): OperatorRecord | undefined;
  /** Finds the record of a key at an offset, if it is the newest one or the one before it. */
  findAt(key: string, offset: number): OperatorRecord | undefined;
  /** The offset of the newest record of each key that is not removed. */
  readonly offsets: Readonly<Record<string, number>>;
  /** Lists the stored records at an offset or later. */
  listSince(offset: number): readonly OperatorRecord[];
  /** Lists removals for those keys of another daemon that this copy should contain, and does not. */
  listRemovals(
    held: Readonly<Record<string, number>>,
  ): readonly OperatorRecord[];
}

export function createOperatorRecords(
  { locate, isPermanent }: RecordRules,
): OperatorRecords {
  const byKey = new Map<string, OperatorRecord>();
  /** The record of each key before the newest one. */
  const previous = new Map<string, OperatorRecord>();
  /** The last records of each key that others have replaced; not of permanent keys, which can be large. */
  const replaced = new Map<string, readonly OperatorRecord[]>();
  /** Keys whose newest record was replaced in an older era, and has come back with the copy of the store. */
  const supersededKeys = new Set<string>();
  let position = NO_POSITION;

  function isInLaterEra(left: number, right: number): boolean {
    return locate(left).era > locate(right).era;
  }

  function isSameRecord(left: OperatorRecord, right: OperatorRecord): boolean {
    return locate(left.offset).offset === locate(right.offset).offset &&
      Buffer.compare(left.value, right.value) === 0;
  }

  /** Whether a record that is read again in a later era is known to have been replaced or removed. */
  function isSuperseded(record: OperatorRecord): boolean {
    const stored = byKey.get(record.key);
    if (stored === undefined || !isInLaterEra(record.offset, stored.offset)) {
      return false;
    }
    if (isSameRecord(record, stored)) {
      return supersededKeys.has(record.key);
    }
    return replaced.get(record.key)?.some((each) =>
      isSameRecord(record, each)
    ) ?? false;
  }

  function createRemoval(key: string, readTo: number): OperatorRecord {
    return {
      key,
      offset: readTo + MISSING_KEY_OFFSET,
      value: new Uint8Array(),
    };
  }

  function listMissing({ records, position: end }: RecordRange) {
    const present = new Set(records.map(({ key }) => key));
    return [...byKey.values()].filter(({ key, value }) =>
      value.length > 0 && !present.has(key) &&
      !isPermanent(key)
    ).map(({ key }) => createRemoval(key, end));
  }

  function store(record: OperatorRecord): void {
    const stored = byKey.get(record.key);
    if (isSuperseded(record)) {
      supersededKeys.add(record.key);
    } else {
      supersededKeys.delete(record.key);
    }
    byKey.set(record.key, record);
    if (stored !== undefined) {
      previous.set(record.key, stored);
      if (!isPermanent(record.key)) {
        replaced.set(
          record.key,
          [...replaced.get(record.key) ?? [], stored]
            .slice(-MAXIMUM_REPLACED_RECORDS),
        );
      }
    }
  }

  return {
    get position() {
      return position;
    },
    apply(range, { isComplete = false } = {}) {
      const { records, from, position: end } = range;
      if (isInLaterEra(position, end)) {
        return [];
      }
      const newer = [...records, ...(isComplete ? listMissing(range) : [])]
        .filter((record) =>
          record.offset > (byKey.get(record.key)?.offset ?? -1)
        );
      for (const record of newer) {
        const stored = byKey.get(record.key);
        if (stored === undefined || record.offset > stored.offset) {
          store(record);
        }
      }
      // If the range starts after the position, the records in between must be fetched first.
      if (from <= position) {
        position = Math.max(position, end);
      }
      return newer.filter((record) =>
        byKey.get(record.key) === record && !supersededKeys.has(record.key)
      );
    },
    find: (key) => byKey.get(key),
    findAt: (key, offset) =>
      [byKey.get(key), previous.get(key)].find((record) =>
        record?.offset === offset
      ),
    get offsets() {
      return Object.fromEntries(
        [...byKey.values()].filter(({ value }) => value.length > 0)
          .map(({ key, offset }) => [key, offset]),
      );
    },
    listSince: (offset) =>
      [...byKey.values()].filter((record) => record.offset >= offset),
    listRemovals: (held) =>
      Object.entries(held).filter(([key, offset]) =>
        !byKey.has(key) && offset < position && !isPermanent(key)
      ).map(([key]) => createRemoval(key, position)),
  };
}
