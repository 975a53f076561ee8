/**
 * Whole records in a smaller form for daemons that have nothing to compare them with.
 *
 * Load pattern: half of a large fleet is restarted at once. Each daemon needs the newest configuration, of
 * 250 kB with many routes, from those that go on, over links of 7 to 11 Mbit/s; until it has it, it refuses
 * the calls of its clients. Compressed it is about a tenth.
 *
 * @module
 */

import type { Result } from "../../../base/common/result.ts";
import type { StepError } from "../../../base/common/step_error.ts";
import type { OperatorRecord } from "./operator_records.ts";
import type { CompactRange, RecordDifference } from "./record_difference.ts";

/** Smaller records are sent in the time of a round trip. */
const LEAST_BYTES = 4_096;

export interface CompressedRecord {
  readonly key: string;
  readonly offset: number;
  readonly compressed: Uint8Array;
}

/** A range as it is sent to a daemon that asked for it. */
export interface PackedRange extends Omit<CompactRange, "records"> {
  readonly records:
    readonly (OperatorRecord | RecordDifference | CompressedRecord)[];
}

export interface Compression {
  compress(value: Uint8Array): Uint8Array;
  decompress(value: Uint8Array): Result<Uint8Array, StepError>;
}

export interface RecordPacker {
  pack(range: CompactRange): PackedRange;
  /** Undefined when a record cannot be expanded. */
  unpack(range: PackedRange): CompactRange | undefined;
}

export function createRecordPacker(
  { compress, decompress: expand }: Compression,
): RecordPacker {
  /** Many daemons ask for the same records at the same time. */
  const compressed = new WeakMap<Uint8Array, Uint8Array>();

  function compressOnce(value: Uint8Array): Uint8Array {
    const known = compressed.get(value);
    if (known !== undefined) {
      return known;
    }
    const created = compress(value);
    compressed.set(value, created);
    return created;
  }

  return {
    pack: (range) => ({
      ...range,
      records: range.records.map((record) => {
        if (!("value" in record) || record.value.length < LEAST_BYTES) {
          return record;
        }
        const { key, offset, value } = record;
        return { key, offset, compressed: compressOnce(value) };
      }),
    }),
    unpack(range) {
      const records: (OperatorRecord | RecordDifference)[] = [];
      for (const record of range.records) {
        if (!("compressed" in record)) {
          records.push(record);
          continue;
        }
        const value = expand(record.compressed);
        if (value.err) {
          return undefined;
        }
        const { key, offset } = record;
        records.push({ key, offset, value: value.val });
      }
      return { ...range, records };
    },
  };
}
