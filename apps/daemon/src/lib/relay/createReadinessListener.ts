import type { ConnectionLimits } from '../createConnectionGuard.js';
import { createHttpServer, type HttpServer } from '../createHttpServer.js';

/**
 * Creates a listener for the load balancer's health checks. It responds at every path, with 200 when
 * this host accepts new connections and with 503 otherwise.
 *
 * @param isReady - returns whether this host accepts new connections
 * @param limits - limits of its connections
 * @returns the listener, not yet listening
 * @internal
 */
export function createReadinessListener(
  isReady: () => boolean,
  limits: ConnectionLimits,
): HttpServer {
  return createHttpServer(
    () => undefined,
    {
      onNoMatch(_request, response) {
        response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 });
        response.end();
      },
    },
    { ...limits, hasBodies: false },
  );
}
