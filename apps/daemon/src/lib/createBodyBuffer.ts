import { BLOCK_BYTES, type BlockPool } from './createBlockPool.js';
import { freeChunk } from './freeChunk.js';

/** Collects the chunks of a body without keeping them. @internal */
export interface BodyBuffer {
  /** Adds a chunk, which is empty afterwards. */
  add(chunk: Buffer): void;
  /** Returns the memory that the body takes, in bytes. */
  readonly countHeld: () => number;
  /** Returns the content, and gives the blocks back. */
  take(): Buffer;
  /** Gives the blocks back. */
  discard(): void;
}

/**
 * Creates an empty buffer. Chunks are copied into blocks, because a buffer of its own for each chunk
 * takes a hundred times the memory of a chunk of one byte.
 *
 * @param pool - the source of the blocks
 * @param announcedBytes - the length of the body; undefined when it is not known
 * @returns the buffer, which takes only memory for what has arrived
 * @internal
 */
export function createBodyBuffer(pool: BlockPool, announcedBytes: number | undefined): BodyBuffer {
  let whole: Buffer | undefined;
  let blocks: Buffer[] = [];
  /** The last block. */
  let last: Buffer = Buffer.alloc(0);
  /** Number of bytes in the blocks. */
  let size = 0;

  function copy(chunk: Buffer): void {
    for (let offset = 0; offset < chunk.length;) {
      const start = size % BLOCK_BYTES;
      if (start === 0) {
        last = pool.acquire();
        blocks.push(last);
      }
      const count = Math.min(chunk.length - offset, BLOCK_BYTES - start);
      chunk.copy(last, start, offset, offset + count);
      offset += count;
      size += count;
    }
  }

  function discard(): void {
    pool.release(blocks);
    blocks = [];
    size = 0;
  }

  return {
    add(chunk) {
      // Most bodies arrive in one chunk, which has memory of its own.
      if (size === 0 && chunk.length === announcedBytes) {
        whole = chunk;
      } else {
        copy(chunk);
        freeChunk(chunk);
      }
    },
    countHeld: () => whole?.length ?? blocks.length * BLOCK_BYTES,
    take() {
      const content = whole ?? Buffer.concat(blocks, size);
      whole = undefined;
      discard();
      return content;
    },
    discard,
  };
}
