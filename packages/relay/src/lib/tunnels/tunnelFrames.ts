const LENGTH_BYTES = 4;
/** Takes the place of a length: the host that carries the connection stops. */
const STOP_MARK = 0xff_ff_ff_ff;

function encodeMark(mark: number): Buffer {
  const bytes = Buffer.alloc(LENGTH_BYTES);
  bytes.writeUInt32BE(mark);
  return bytes;
}

/** Name of the frames, without which two hosts open no tunnel. @internal */
export const TUNNEL_FRAMES = 'marked-end';

/** Tells that the server ended the connection; nothing follows. @internal */
export const END_FRAME = encodeMark(0);

/** Tells that the host that carries the connection stops; frames may follow. @internal */
export const STOP_FRAME = encodeMark(STOP_MARK);

/**
 * Builds what precedes bytes of a server.
 *
 * @param length - number of bytes, at least 1
 * @returns the head of their frame
 * @internal
 */
export const buildFrameHead = (length: number) => encodeMark(length);

/** Receives what frames contain. @internal */
export interface FrameHandlers {
  onBytes(bytes: Buffer): void;
  onStop(): void;
  onEnd(): void;
}

/**
 * Creates a reader of frames. It hands on the bytes of a frame as they arrive and keeps none of them.
 *
 * @param handlers - see {@link FrameHandlers}
 * @returns a function that takes the next chunk
 * @internal
 */
export function createTunnelReader(handlers: FrameHandlers): (chunk: Buffer) => void {
  const head = Buffer.alloc(LENGTH_BYTES);
  let headBytes = 0;
  let remaining = 0;
  let hasEnded = false;

  function readHead(chunk: Buffer, position: number): number {
    const copied = chunk.copy(head, headBytes, position, position + LENGTH_BYTES - headBytes);
    headBytes += copied;
    if (headBytes < LENGTH_BYTES) return position + copied;
    headBytes = 0;
    const mark = head.readUInt32BE();
    if (mark === STOP_MARK) handlers.onStop();
    else if (mark > 0) remaining = mark;
    else {
      hasEnded = true;
      handlers.onEnd();
    }
    return position + copied;
  }

  return (chunk) => {
    for (let position = 0; position < chunk.length && !hasEnded;) {
      if (remaining === 0) {
        position = readHead(chunk, position);
        continue;
      }
      const bytes = chunk.subarray(position, position + remaining);
      position += bytes.length;
      remaining -= bytes.length;
      handlers.onBytes(bytes);
    }
  };
}
