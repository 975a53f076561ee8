/**
 * Compresses whole records for daemons that have no base record for a delta.
 *
 * Load pattern: half of a large fleet restarts at the same time. Each restarted daemon needs the newest
 * configuration, 250 kB with many routes, from a running daemon over links of 7 to 11 Mbit/s, and refuses
 * client calls until it has it. Compressed, the configuration has about a tenth of the size.
 *
 * @module
 */

import type { Result } from "../../../base/common/result.ts";
import type { StepError } from "../../../base/common/step_error.ts";
import type { OperatorRecord } from "./operator_records.ts";
import type { DeltaRange, RecordDelta } from "./record_delta.ts";

/** Smaller records are not compressed: sending them takes no longer than a round trip. */
const COMPRESSION_THRESHOLD_BYTES = 4_096;

export interface CompressedRecord {
  readonly key: string;
  readonly offset: number;
  readonly compressed: Uint8Array;
}

/** A range in the form that is sent to a daemon that requested it. */
export interface PackedRange extends Omit<DeltaRange, "records"> {
  readonly records:
    readonly (OperatorRecord | RecordDelta | CompressedRecord)[];
}

export interface Compression {
  compress(value: Uint8Array): Uint8Array;
  decompress(value: Uint8Array): Result<Uint8Array, StepError>;
}

export interface RecordPacker {
  pack(range: DeltaRange): PackedRange;
  /** Returns undefined if a record cannot be decompressed. */
  unpack(range: PackedRange): DeltaRange | undefined;
}

export function createRecordPacker(
  { compress, decompress }: Compression,
): RecordPacker {
  /** Caches compressed values, as many daemons request the same records at the same time. */
  const cache = new WeakMap<Uint8Array, Uint8Array>();

  function compressWithCache(value: Uint8Array): Uint8Array {
    const cached = cache.get(value);
    if (cached !== undefined) {
      return cached;
    }
    const created = compress(value);
    cache.set(value, created);
    return created;
  }

  return {
    pack: (range) => ({
      ...range,
      records: range.records.map((record) => {
        if (
          !("value" in record) ||
          record.value.length < COMPRESSION_THRESHOLD_BYTES
        ) {
          return record;
        }
        const { key, offset, value } = record;
        return { key, offset, compressed: compressWithCache(value) };
      }),
    }),
    unpack(range) {
      const records: (OperatorRecord | RecordDelta)[] = [];
      for (const record of range.records) {
        if (!("compressed" in record)) {
          records.push(record);
          continue;
        }
        const value = decompress(record.compressed);
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
