import type { Socket } from 'node:net';

import type { ConnectionGuard } from './createConnectionGuard.js';

/** Time that a caller has to read its rejection, in milliseconds. */
const LINGER_MS = 2_000;
/** Error codes of the parser begin with this; one names the end of the connection. */
const PARSER_PREFIX = 'HPE_';
const EARLY_END = 'HPE_INVALID_EOF_STATE';
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
const BAD_REQUEST = '400 Bad Request';
/** Statuses of requests that cannot be read, by error code. */
const statuses: Readonly<Partial<Record<string, string>>> = {
  [REQUEST_TIMEOUT]: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};

function sendStatus(socket: Socket, status: string): void {
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once('close', () => clearTimeout(timer));
}

/**
 * Handles an error of the HTTP server on a connection. By default the server writes a status at once,
 * which a caller takes for the response to an earlier request that is still running.
 *
 * The connection closes after the responses in front of the request that cannot be read. That
 * request gets a status of its own only if no response is open.
 *
 * @param guard - the open responses of the connection
 * @param error - what the server or its parser found
 * @param socket - the connection
 * @internal
 */
export function handleClientError(
  guard: Pick<ConnectionGuard, 'startClosing'>,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const code = error.code ?? '';
  const isRequestError = code.startsWith(PARSER_PREFIX) || code === REQUEST_TIMEOUT;
  if (!isRequestError || !socket.writable) {
    socket.destroy();
    return;
  }
  const open = guard.startClosing(socket);
  if (open === undefined) return;
  const last = open.at(-1);
  if (last === undefined) {
    sendStatus(socket, statuses[code] ?? BAD_REQUEST);
    return;
  }
  // A caller that ends its connection has left.
  if (code === EARLY_END) {
    socket.destroy();
    return;
  }
  if (!last.headersSent) last.shouldKeepAlive = false;
  last.once('close', () => socket.destroySoon());
  // A request whose body cannot be read any further is rejected in its turn.
  if (!last.req.complete && last.req.listenerCount('error') > 0) last.req.emit('error', error);
}
