/**
 * Reads delimited sections, such as lines, from input that arrives in pieces.
 *
 * Load pattern: a section that arrives in many small pieces or never ends. Each byte is searched and
 * copied a bounded number of times, and the length of a section is limited.
 *
 * @module
 */

/** Unread input; readers advance its position. */
export interface ByteCursor {
  readonly bytes: Buffer;
  position: number;
}

export interface DelimitedReader {
  /** The memory allocated for an incomplete section. */
  readonly bufferedBytes: number;
  /** Returns the section without its delimiter once it is complete. */
  read(
    cursor: ByteCursor,
    options: { readonly delimiter: Buffer; readonly maximumBytes: number },
  ): Buffer | "more" | "too-long";
  /** Discards an incomplete section and releases its memory. */
  discard(): void;
}

const MINIMUM_CAPACITY_BYTES = 256;
const EMPTY = Buffer.alloc(0);

export function createDelimitedReader(): DelimitedReader {
  let buffer = EMPTY;
  let length = 0;

  function append(cursor: ByteCursor, count: number): void {
    const needed = length + count;
    if (needed > buffer.length) {
      const grown = Buffer.allocUnsafeSlow(
        Math.max(needed, 2 * buffer.length, MINIMUM_CAPACITY_BYTES),
      );
      buffer.copy(grown, 0, 0, length);
      buffer = grown;
    }
    cursor.bytes.copy(buffer, length, cursor.position, cursor.position + count);
  }

  function discard(): void {
    buffer = EMPTY;
    length = 0;
  }

  return {
    get bufferedBytes() {
      return buffer.length;
    },
    read(cursor, { delimiter, maximumBytes }) {
      const { bytes, position } = cursor;
      if (position === bytes.length) {
        return "more";
      }
      const maximumLength = maximumBytes + delimiter.length;
      const available = Math.min(
        bytes.length - position,
        maximumLength - length,
      );
      if (length === 0) {
        const inPlace = bytes.subarray(position, position + available);
        const end = inPlace.indexOf(delimiter);
        if (end >= 0) {
          cursor.position += end + delimiter.length;
          return inPlace.subarray(0, end);
        }
      }
      append(cursor, available);
      const newLength = length + available;
      const searchFrom = Math.max(0, length - delimiter.length + 1);
      const end = length === 0
        ? -1
        : buffer.subarray(0, newLength).indexOf(delimiter, searchFrom);
      if (end >= 0) {
        cursor.position += end + delimiter.length - length;
        const section = buffer.subarray(0, end);
        discard();
        return section;
      }
      cursor.position += available;
      length = newLength;
      if (length < maximumLength) {
        return "more";
      }
      discard();
      return "too-long";
    },
    discard,
  };
}
