import { createHash, timingSafeEqual } from 'node:crypto';

import { requestIdSchema } from '@endiveferry/base';
import type { Metrics, TraceStore } from '@endiveferry/telemetry';
import type { Middleware } from 'polka';

import type { HostStatus } from './buildStatus.js';
import type { ConnectionLimits } from './createConnectionGuard.js';
import { createHttpServer, type HttpServer } from './createHttpServer.js';
import { sendJson } from './sendJson.js';

/**
 * Options of the operators' listener.
 *
 * @internal
 */
export interface OperatorsListenerOptions {
  readonly token: string | undefined;
  readonly metrics: Metrics;
  readonly traces: TraceStore;
  readonly isReady: () => boolean;
  readonly buildStatus: () => HostStatus;
  /** Starts a graceful stop. */
  readonly drain: () => void;
  readonly limits: ConnectionLimits;
}

function isSameSecret(first: string, second: string): boolean {
  const hash = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(hash(first), hash(second));
}

/**
 * Creates the operators' listener: health, readiness, metrics, status, request traces and drain.
 *
 * @param options - see {@link OperatorsListenerOptions}
 * @returns the server, not yet listening
 * @internal
 */
export function createOperatorsListener(options: OperatorsListenerOptions): HttpServer {
  const { token, metrics, traces } = options;

  /** Health and readiness are not protected, since load balancers send no token. */
  const requireToken =
    (handle: Middleware): Middleware =>
    (request, response, next) => {
      const authorization = request.headers.authorization ?? '';
      if (token !== undefined && !isSameSecret(authorization, `Bearer ${token}`)) {
        sendJson(response, 401, { error: 'the operators token is missing or invalid' });
        return;
      }
      return handle(request, response, next);
    };

  const http = createHttpServer(
    () => undefined,
    {
      onNoMatch: (_request, response) => sendJson(response, 404, { error: 'unknown path' }),
      onError: (error, _request, response) =>
        sendJson(response, 500, { error: typeof error === 'string' ? error : error.message }),
    },
    { ...options.limits, hasBodies: false },
  );
  http.app.get('/healthz', (_request, response) => sendJson(response, 200, { isAlive: true }));
  http.app.get('/readyz', (_request, response) => {
    const isReady = options.isReady();
    sendJson(response, isReady ? 200 : 503, { isReady });
  });
  http.app.get(
    '/metrics',
    requireToken(async (_request, response) => {
      const text = await metrics.format();
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(text);
    }),
  );
  http.app.get(
    '/v1/status',
    requireToken((_request, response) => sendJson(response, 200, options.buildStatus())),
  );
  http.app.get(
    '/v1/requests/:requestId',
    requireToken((request, response) => {
      const requestId = requestIdSchema.safeParse(request.params.requestId).data;
      const trace = requestId === undefined ? undefined : traces.findTrace(requestId);
      if (trace !== undefined) sendJson(response, 200, trace);
      else sendJson(response, 404, { error: 'this host has no record of the request' });
    }),
  );
  http.app.post(
    '/v1/drain',
    requireToken((_request, response) => {
      options.drain();
      sendJson(response, 202, { isDraining: true });
    }),
  );
  return http;
}
