import { createHttpServer, type HttpServer } from '../createHttpServer.js';

/**
 * Creates a listener for the load balancer's health checks. It responds at every path, with 200 when
 * this host accepts new connections and with 503 otherwise.
 *
 * @param isReady - tells whether this host accepts new connections
 * @returns the listener, not yet listening
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
