/**
 * Encodes a record as a delta to the previous record of its key.
 *
 * Load pattern: configurations with many routes are written in quick succession, in a failure domain of
 * many hosts on slow links. The daemon that reads the log sends each version to all others; whole versions
 * of 75 kB occupy its link for seconds, and calls queue behind them. Versions differ in a few routes only.
 *
 * @module
 */

import type { OperatorRecord, RecordRange } from "./operator_records.ts";

/** A byte range to copy from the base value, or new bytes. */
export type DeltaPart = readonly [start: number, end: number] | Uint8Array;

/** A delta to the record of the same key at the offset `base`. */
export interface RecordDelta {
  readonly key: string;
  readonly offset: number;
  readonly base: number;
  readonly parts: readonly DeltaPart[];
}

/** A range in the form that is sent, with whole records or deltas. */
export interface DeltaRange {
  readonly records: readonly (OperatorRecord | RecordDelta)[];
  readonly from: number;
  readonly position: number;
}

type FindRecord = (key: string) => OperatorRecord | undefined;

/** Values are compared in chunks that start with this character, the start of a JSON object. */
const CHUNK_START = "{";
/** A delta that is larger than this fraction of the value does not save enough to be used. */
const MAXIMUM_DELTA_FRACTION = 0.5;
/** The estimated encoded size of a copied range, which is two numbers. */
const COPIED_PART_BYTES = 10;

/** Replaces records by deltas to the records that `find` returns, if the deltas are much smaller. */
export function encodeDeltas(
  range: RecordRange,
  find: FindRecord,
): DeltaRange {
  return {
    ...range,
    records: range.records.map((record) => {
      const base = find(record.key);
      const parts = base === undefined
        ? undefined
        : computeDelta(base.value, record.value);
      return parts === undefined ? record : {
        key: record.key,
        offset: record.offset,
        base: base!.offset,
        parts,
      };
    }),
  };
}

/** Rebuilds whole records; undefined if a base record is missing, so that the range must be fetched. */
export function decodeDeltas(
  range: DeltaRange,
  find: FindRecord,
): RecordRange | undefined {
  const records: OperatorRecord[] = [];
  for (const record of range.records) {
    if (!("parts" in record)) {
      records.push(record);
      continue;
    }
    const { key, offset, base, parts } = record;
    const baseRecord = find(key);
    if (baseRecord?.offset !== base) {
      return undefined;
    }
    records.push({ key, offset, value: applyDelta(baseRecord.value, parts) });
  }
  return { ...range, records };
}

/** Computes a delta; undefined if it would not be much smaller than the value. */
export function computeDelta(
  base: Uint8Array,
  next: Uint8Array,
): readonly DeltaPart[] | undefined {
  const baseChunks = splitChunks(base);
  const chunksByText = new Map<string, Chunk>();
  for (const chunk of baseChunks) {
    chunksByText.set(chunk.text, chunk);
  }
  const parts: DeltaPart[] = [];
  let copiedRange: [number, number] | undefined;
  let newTexts: string[] = [];
  let bytes = 0;

  function flushNewTexts(): void {
    if (newTexts.length > 0) {
      const part = Buffer.from(newTexts.join(""), "latin1");
      parts.push(part);
      bytes += part.length;
      newTexts = [];
    }
  }

  for (const { text } of splitChunks(next)) {
    const nextBaseChunk = copiedRange === undefined
      ? undefined
      : baseChunks.at(findChunkIndex(baseChunks, copiedRange[1]));
    const source = nextBaseChunk?.text === text
      ? nextBaseChunk
      : chunksByText.get(text);
    if (source === undefined) {
      copiedRange = undefined;
      newTexts.push(text);
    } else if (copiedRange !== undefined && source.start === copiedRange[1]) {
      copiedRange[1] = source.start + text.length;
    } else {
      flushNewTexts();
      copiedRange = [source.start, source.start + text.length];
      parts.push(copiedRange);
      bytes += COPIED_PART_BYTES;
    }
  }
  flushNewTexts();
  return bytes > MAXIMUM_DELTA_FRACTION * next.length ? undefined : parts;
}

export function applyDelta(
  base: Uint8Array,
  parts: readonly DeltaPart[],
): Uint8Array {
  return Buffer.concat(
    parts.map((part) =>
      part instanceof Uint8Array ? part : base.subarray(part[0], part[1])
    ),
  );
}

interface Chunk {
  readonly text: string;
  readonly start: number;
}

function splitChunks(value: Uint8Array): Chunk[] {
  const text = Buffer.from(value.buffer, value.byteOffset, value.byteLength)
    .toString("latin1");
  const chunks: Chunk[] = [];
  for (let start = 0; start < text.length;) {
    const found = text.indexOf(CHUNK_START, start + 1);
    const end = found < 0 ? text.length : found;
    chunks.push({ text: text.slice(start, end), start });
    start = end;
  }
  return chunks;
}

/** Finds the first chunk that starts at a byte offset or after it; chunks are sorted by start. */
function findChunkIndex(chunks: readonly Chunk[], start: number): number {
  let low = 0;
  let high = chunks.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (chunks[middle].start < start) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
