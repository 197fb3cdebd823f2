import type { IncomingMessage } from 'node:http';

import { freeChunk } from './freeChunk.js';
import { stopReading } from './stopReading.js';

/** Maximum size of the rest that is read, in bytes. */
const MAX_DISCARDED_BYTES = 262_144;
/** Time that a caller has to read its rejection, in milliseconds. */
const LINGER_MS = 2_000;

/**
 * Lets the connection of a rejected request close so that the caller can read its response: closing a
 * connection with unread bytes would reset it, and many clients then discard the response. A bounded
 * part of the rest is read and dropped; more stays unread until the time has passed.
 *
 * @param request - the request, whose response must close the connection
 * @internal
 */
export function discardRest(request: IncomingMessage): void {
  const { socket } = request;
  const lastByte = socket.bytesRead + MAX_DISCARDED_BYTES;
  let isStopped = false;
  request.on('data', (chunk: Buffer) => {
    freeChunk(chunk);
    if (isStopped || socket.bytesRead <= lastByte) return;
    isStopped = true;
    stopReading(socket);
  });
  // The HTTP server calls this once the response is written.
  socket.destroySoon = () => {
    socket.end();
    const destroy = () => socket.destroy();
    if (request.readableEnded) {
      if (socket.writableFinished) destroy();
      else socket.once('finish', destroy);
      return;
    }
    request.once('end', destroy);
    const timer = setTimeout(destroy, LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  };
}
