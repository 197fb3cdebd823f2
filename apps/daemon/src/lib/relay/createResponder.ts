import type { ServerResponse } from 'node:http';

import type { Responder } from '@endiveferry/relay';

/**
 * Creates a responder that writes to an HTTP response.
 *
 * @param response - the HTTP response
 * @param isClosing - returns whether the connection must be closed after this response
 * @returns the responder
 * @internal
 */
export function createResponder(response: ServerResponse, isClosing: () => boolean): Responder {
  const writeHead = (status: number, headers: readonly string[]) => {
    if (isClosing()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
  };
  return {
    hasStarted: () => response.headersSent,
    start(status, headers) {
      if (response.destroyed) return;
      writeHead(status, headers);
    },
    write: (chunk) => response.destroyed || response.write(chunk),
    onDrain: (callback) => void response.once('drain', callback),
    end: () => void response.end(),
    send({ status, headers, body }) {
      if (response.destroyed) return;
      writeHead(status, [...headers, 'Content-Length', String(body.length)]);
      response.end(body);
    },
    abort() {
      // Only chunks or a reset tell a caller of HTTP/1.0 that the response is incomplete.
      if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy();
      else response.destroy();
    },
  };
}
