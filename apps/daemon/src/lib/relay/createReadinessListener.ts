import { createHttpServer, type HttpServer } from '../createHttpServer.js';

/**
 * Creates a listener that answers every path by whether this host takes new connections.
 *
 * @param isReady - whether it does
 * @returns the listener, which does not listen yet
 * @internal
 */
export function createReadinessListener(isReady: () => boolean): HttpServer {
  return createHttpServer(() => undefined, {
    onNoMatch(_request, response) {
      response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 });
      response.end();
    },
  });
}
