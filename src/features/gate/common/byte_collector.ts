/**
 * Accumulates the bytes of a body that arrives in pieces.
 *
 * Load pattern: a body that arrives in millions of small pieces. Stored as separate buffers, each piece
 * would take many times its length in memory. Here each byte is copied into a block, and once more when
 * the blocks are joined.
 *
 * @module
 */

/** Most responses that do not arrive in one read fit into one block of this size. */
const MINIMUM_BLOCK_BYTES = 4 * 1024;
/** Blocks grow with the body, up to the size of one socket read. */
const MAXIMUM_BLOCK_BYTES = 64 * 1024;

export interface ByteCollector {
  readonly length: number;
  /** The allocated memory in bytes, including the unused end of the last block. */
  readonly capacity: number;
  append(bytes: Buffer): void;
  /** Returns all bytes in one buffer. The collector must not be used afterwards. */
  join(): Buffer;
}

export function createByteCollector(): ByteCollector {
  const blocks: Buffer[] = [];
  let length = 0;
  let capacity = 0;
  let freeBytes = 0;

  function addBlock(): void {
    const size = Math.min(
      MAXIMUM_BLOCK_BYTES,
      Math.max(MINIMUM_BLOCK_BYTES, length),
    );
    blocks.push(Buffer.allocUnsafeSlow(size));
    capacity += size;
    freeBytes = size;
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
        if (freeBytes === 0) {
          addBlock();
        }
        const block = blocks[blocks.length - 1];
        const count = Math.min(freeBytes, bytes.length - position);
        bytes.copy(
          block,
          block.length - freeBytes,
          position,
          position + count,
        );
        position += count;
        freeBytes -= count;
        length += count;
      }
    },
    join: () => Buffer.concat(blocks, length),
  };
}
