/**
 * Reads sections of bytes that end with a delimiter, such as lines, from input in pieces.
 *
 * Load pattern: a section that arrives in many small pieces or never ends. Each byte is searched
 * and copied a bounded number of times, and a section has a limit.
 *
 * @module
 */

/** Unread input, of which readers advance the position. */
export interface ByteCursor {
  readonly bytes: Buffer;
  position: number;
}

export interface DelimitedReader {
  /** The memory that the beginning of an unfinished section takes. */
  readonly heldBytes: number;
  /** Returns the section without its delimiter once it is complete. */
  read(
    cursor: ByteCursor,
    options: { readonly delimiter: Buffer; readonly maximumBytes: number },
  ): Buffer | "more" | "too-long";
  /** Releases the beginning of an unfinished section. */
  discard(): void;
}

const SMALLEST_CAPACITY_BYTES = 256;
const EMPTY = Buffer.alloc(0);

export function createDelimitedReader(): DelimitedReader {
  let held = EMPTY;
  let length = 0;

  function append(cursor: ByteCursor, count: number): void {
    const needed = length + count;
    if (needed > held.length) {
      const grown = Buffer.allocUnsafeSlow(
        Math.max(needed, 2 * held.length, SMALLEST_CAPACITY_BYTES),
      );
      held.copy(grown, 0, 0, length);
      held = grown;
    }
    cursor.bytes.copy(held, length, cursor.position, cursor.position + count);
  }

  function discard(): void {
    held = EMPTY;
    length = 0;
  }

  return {
    get heldBytes() {
      return held.length;
    },
    read(cursor, { delimiter, maximumBytes }) {
      const { bytes, position } = cursor;
      if (position === bytes.length) {
        return "more";
      }
      const longest = maximumBytes + delimiter.length;
      const available = Math.min(bytes.length - position, longest - length);
      if (length === 0) {
        const inPlace = bytes.subarray(position, position + available);
        const end = inPlace.indexOf(delimiter);
        if (end >= 0) {
          cursor.position += end + delimiter.length;
          return inPlace.subarray(0, end);
        }
      }
      append(cursor, available);
      const grown = length + available;
      const from = Math.max(0, length - delimiter.length + 1);
      const end = length === 0
        ? -1
        : held.subarray(0, grown).indexOf(delimiter, from);
      if (end >= 0) {
        cursor.position += end + delimiter.length - length;
        const section = held.subarray(0, end);
        discard();
        return section;
      }
      cursor.position += available;
      length = grown;
      if (length < longest) {
        return "more";
      }
      discard();
      return "too-long";
    },
    discard,
  };
}
