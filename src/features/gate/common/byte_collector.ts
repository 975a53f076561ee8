/**
 * Collects the bytes of a body that arrives in pieces.
 *
 * Load pattern: a body that arrives as millions of small pieces. Kept as they are, each would take
 * many times its length in memory; here each byte is copied into a block and once more at the end.
 *
 * @module
 */

/** Most answers that do not arrive in one read need one block of this size. */
const SMALLEST_BLOCK_BYTES = 4 * 1024;
/** Blocks grow with the body up to the size of one read from a socket. */
const LARGEST_BLOCK_BYTES = 64 * 1024;

export interface ByteCollector {
  readonly length: number;
  /** The memory that is taken, including the unused end of the last block. */
  readonly capacity: number;
  append(bytes: Buffer): void;
  /** All bytes in one buffer; the collector is not used any more. */
  join(): Buffer;
}

export function createByteCollector(): ByteCollector {
  const blocks: Buffer[] = [];
  let length = 0;
  let capacity = 0;
  let free = 0;

  function addBlock(): void {
    const size = Math.min(
      LARGEST_BLOCK_BYTES,
      Math.max(SMALLEST_BLOCK_BYTES, length),
    );
    blocks.push(Buffer.allocUnsafeSlow(size));
    capacity += size;
    free = size;
  }

  return {
    get length() {
      return length;
    },
    get capacity() {
      return capacity;
    },
    append(bytes) {
      let position = 0;
      while (position < bytes.length) {
        if (free === 0) {
          addBlock();
        }
        const block = blocks[blocks.length - 1];
        const count = Math.min(free, bytes.length - position);
        bytes.copy(
          block,
          block.length - free,
          position,
          position + count,
        );
        position += count;
        free -= count;
        length += count;
      }
    },
    join: () => Buffer.concat(blocks, length),
  };
}
