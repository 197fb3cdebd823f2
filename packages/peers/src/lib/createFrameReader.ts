/** Length of the prefix of a message, in bytes. @internal */
export const LENGTH_PREFIX_BYTES = 4;

/**
 * Maximum length of a message, in bytes; a configuration can take up several megabytes.
 *
 * @internal
 */
export const MAX_MESSAGE_BYTES = 32_000_000;

/** Number of chunks that are kept without a check of their size. */
const MIN_JOINED_CHUNKS = 32;
/** Mean size of kept chunks below which they are joined, in bytes: each takes some hundred more. */
const MIN_MEAN_CHUNK_BYTES = 1_024;

/** Options of {@link createFrameReader}. @internal */
export interface FrameReaderOptions {
  readonly onFrame: (frame: Buffer) => void;
  /** Returns the maximum length of the next frame, in bytes. */
  readonly findMaxBytes: () => number;
  /** Called with the number of bytes that are kept for an incomplete frame, when it changes. */
  readonly onKept: (bytes: number) => void;
}

/**
 * Splits a byte stream into length-prefixed messages. The chunks of a message are joined once.
 *
 * @param options - see {@link FrameReaderOptions}
 * @returns a function that takes the next chunk, and returns false when a message is too long
 * @internal
 */
export function createFrameReader(options: FrameReaderOptions): (chunk: Buffer) => boolean {
  let chunks: Buffer[] = [];
  let size = 0;
  /** Number of bytes with which the next prefix or message is complete. */
  let needed = LENGTH_PREFIX_BYTES;
  let kept = 0;

  function keep(chunk: Buffer): void {
    chunks = chunk.length > 0 ? [chunk] : [];
    size = chunk.length;
  }

  function readFrames(): boolean {
    while (size >= needed) {
      const [first] = chunks;
      const isWhole = first?.length === size;
      const buffered = isWhole ? first : Buffer.concat(chunks, size);
      const length = buffered.readUInt32BE(0);
      if (length > options.findMaxBytes()) return false;
      const end = LENGTH_PREFIX_BYTES + length;
      if (size < end) {
        keep(buffered);
        needed = end;
        return true;
      }
      keep(buffered.subarray(end));
      needed = LENGTH_PREFIX_BYTES;
      options.onFrame(buffered.subarray(LENGTH_PREFIX_BYTES, end));
    }
    return true;
  }

  function joinSmallChunks(): void {
    if (chunks.length <= MIN_JOINED_CHUNKS) return;
    if (size < chunks.length * MIN_MEAN_CHUNK_BYTES) chunks = [Buffer.concat(chunks, size)];
  }

  return (chunk) => {
    chunks.push(chunk);
    size += chunk.length;
    joinSmallChunks();
    const isAccepted = readFrames();
    if (size !== kept) options.onKept(size);
    kept = size;
    return isAccepted;
  };
}
