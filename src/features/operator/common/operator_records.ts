/**
 * A daemon's copy of the newest record of each key that the operator has written.
 *
 * @module
 */

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

/** The position before any record has been read. */
export const NO_POSITION = -1;

export interface OperatorRecords {
  /** The offset of the next record to read. */
  readonly position: number;
  /** Applies records; returns those that are newer than the stored ones. */
  apply(range: RecordRange): readonly OperatorRecord[];
  /** The newest record of a key. */
  find(key: string): OperatorRecord | undefined;
  /** Finds the record of a key at an offset, if it is the newest one or the one before it. */
  findAt(key: string, offset: number): OperatorRecord | undefined;
  /** The offset of the newest record of each key. */
  readonly offsets: Readonly<Record<string, number>>;
  /** Lists the stored records at an offset or later. */
  listSince(offset: number): readonly OperatorRecord[];
}

/**
 * `isRemovable` tells for which keys the removal means something. The log may have lost the record of
 * the removal, so a range with the newest record of every key that lacks such a key removes it. A record at the end of
 * the range is kept: the key may have been removed after the range, and the record of that follows.
 */
export function createOperatorRecords(
  isRemovable: (key: string) => boolean = () => false,
): OperatorRecords {
  const byKey = new Map<string, OperatorRecord>();
  /** The record of each key before the newest one. */
  const previous = new Map<string, OperatorRecord>();
  let position = NO_POSITION;

  function listRemoved({ records, from, position: end }: RecordRange) {
    if (from !== NO_POSITION) {
      return [];
    }
    const present = new Set(records.map(({ key }) => key));
    return [...byKey.values()]
      .filter(({ key, offset, value }) =>
        value.length > 0 && offset < end - 1 && !present.has(key) &&
        isRemovable(key)
      )
      .map(({ key }) => ({ key, offset: end - 1, value: new Uint8Array() }));
  }

  return {
    get position() {
      return position;
    },
    apply(range) {
      const { from, position: end } = range;
      const newer = [...range.records, ...listRemoved(range)].filter((record) =>
        record.offset > (byKey.get(record.key)?.offset ?? -1)
      );
      for (const record of newer) {
        const stored = byKey.get(record.key);
        if (stored === undefined || record.offset > stored.offset) {
          byKey.set(record.key, record);
          if (stored !== undefined) {
            previous.set(record.key, stored);
          }
        }
      }
      // If the range starts after the position, the records in between must be fetched first.
      if (from <= position) {
        position = Math.max(position, end);
      }
      return newer.filter((record) => byKey.get(record.key) === record);
    },
    find: (key) => byKey.get(key),
    findAt: (key, offset) =>
      [byKey.get(key), previous.get(key)].find((record) =>
        record?.offset === offset
      ),
    get offsets() {
      return Object.fromEntries(
        [...byKey].map(([key, { offset }]) => [key, offset]),
      );
    },
    listSince: (offset) =>
      [...byKey.values()].filter((record) => record.offset >= offset),
  };
}
