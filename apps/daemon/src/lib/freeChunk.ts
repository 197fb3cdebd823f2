import { MessageChannel } from 'node:worker_threads';

/** Smallest chunk that is worth the call, in bytes; smaller ones may also share their memory. */
const MIN_FREED_BYTES = 16_384;

/** A port to nowhere: what is transferred to it is freed. */
const { port1: sink, port2: otherEnd } = new MessageChannel();
otherEnd.close();
sink.unref();

/**
 * Frees the memory of a chunk that a connection has received, and empties the chunk. The garbage
 * collector would free it only when tens of megabytes have accumulated, which small machines don't have.
 *
 * @param chunk - the chunk, which nothing uses any more
 * @internal
 */
export function freeChunk(chunk: Buffer): void {
  const { buffer, length } = chunk;
  if (length < MIN_FREED_BYTES || buffer.byteLength !== length) return;
  sink.postMessage(undefined, [buffer as ArrayBuffer]);
}
