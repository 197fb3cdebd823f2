import type { ServerResponse } from 'node:http';

import type { Responder } from '@endiveferry/relay';

/**
 * Creates the way back to one caller over HTTP.
 *
 * @param response - the HTTP response
 * @param isClosing - whether the connection must end with this answer
 * @returns the responder
 * @internal
 */
export function createResponder(response: ServerResponse, isClosing: () => boolean): Responder {
  const begin = (status: number, headers: readonly string[]) => {
    if (isClosing()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
  };
  return {
    hasStarted: () => response.headersSent,
    start(status, headers) {
      if (response.destroyed) return;
      begin(status, headers);
    },
    write: (chunk) => response.destroyed || response.write(chunk),
    onDrain: (callback) => void response.once('drain', callback),
    end: () => void response.end(),
    send({ status, headers, body }) {
      if (response.destroyed) return;
      begin(status, [...headers, 'Content-Length', String(body.length)]);
      response.end(body);
    },
    abort: () => void response.destroy(),
  };
}
