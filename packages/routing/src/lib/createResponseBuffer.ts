/** Smallest allocation, in bytes; most responses fit in it. */
const INITIAL_BYTES = 4_096;

/**
 * The body of one response while it is received. Chunks are copied, because each chunk of a few
 * bytes would otherwise keep the whole read buffer that it is part of.
 *
 * @internal
 */
export interface ResponseBuffer {
  append(chunk: Buffer): void;
  /** Returns the number of bytes received. */
  readonly size: () => number;
  /** Returns the bytes received, without a copy. */
  readonly read: () => Buffer;
}

/**
 * Creates an empty buffer.
 *
 * @returns the buffer
 * @internal
 */
export function createResponseBuffer(): ResponseBuffer {
  let bytes = Buffer.alloc(0);
  let size = 0;
  return {
    append(chunk) {
      const needed = size + chunk.length;
      if (needed > bytes.length) {
        const larger = Buffer.alloc(Math.max(INITIAL_BYTES, needed, bytes.length * 2));
        bytes.copy(larger, 0, 0, size);
        bytes = larger;
      }
      chunk.copy(bytes, size);
      size = needed;
    },
    size: () => size,
    read: () => bytes.subarray(0, size),
  };
}
