import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';

import type { TlsKeys } from '@endiveferry/peers';
import { parseAddress } from '@endiveferry/settings';
import polka, { type IOptions, type Polka, type Request } from 'polka';

import { createConnectionGuard, type ConnectionLimits } from './createConnectionGuard.js';
import { discardRest } from './discardRest.js';
import { handleClientError } from './handleClientError.js';

/**
 * HTTP or HTTPS server with its routes.
 *
 * @internal
 */
export interface HttpServer {
  /** Application that routes are registered on. */
  readonly app: Polka;
  /** The underlying server, for settings such as timeouts. */
  readonly server: Server;
  /** Starts listening, and resolves to the bound address. */
  listen(address: string): Promise<string>;
  /** Returns whether a response is the last open one of its connection, so that it may close it. */
  readonly isLastOpen: (response: ServerResponse) => boolean;
  /** Reloads the TLS keys, which apply to new connections. */
  reloadKeys(): void;
  /** Stops accepting connections, and waits until those in use have ended. */
  close(): Promise<void>;
  /** Closes all connections at once. */
  destroy(): void;
}

/** Limits of a listener. @internal */
export interface ListenerLimits extends ConnectionLimits {
  /**
   * Whether requests have bodies. If not, they are also answered at once, a connection that stands
   * still is closed, and a body that is sent anyway is not read.
   */
  readonly hasBodies: boolean;
  /** Path whose requests have a body although others have none. */
  readonly bodyPath?: string;
}

/** Limits of listeners without bodies. */
const SHORT_REQUEST_OPTIONS: ServerOptions = {
  headersTimeout: 5_000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1_000,
};
/** Time without any data after which a connection to such a listener is closed, in milliseconds. */
const SHORT_REQUEST_TIMEOUT_MS = 10_000;

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}

/**
 * Creates an HTTP server, with TLS if there are keys.
 *
 * @param findKeys - returns the current TLS keys; called again at each reload
 * @param errorHandlers - respond to requests without a route, and to those whose handler throws
 * @param limits - see {@link ListenerLimits}
 * @param serverOptions - sizes and timeouts
 * @returns the server, without routes and not yet listening
 * @internal
 */
export function createHttpServer(
  findKeys: () => TlsKeys | undefined,
  errorHandlers: Pick<IOptions, 'onNoMatch' | 'onError'>,
  limits: ListenerLimits,
  serverOptions: ServerOptions = {},
): HttpServer {
  const keys = findKeys();
  const allOptions = limits.hasBodies
    ? serverOptions
    : { ...SHORT_REQUEST_OPTIONS, ...serverOptions };
  const buildSecureContext = ({ certificate, key }: TlsKeys) => ({ cert: certificate, key });
  const tlsServer =
    keys === undefined
      ? undefined
      : createTlsServer({ ...allOptions, ...buildSecureContext(keys) });
  const server: Server = tlsServer ?? createServer(allOptions);
  const guard = createConnectionGuard(limits);
  // Requests of a TLS server arrive on the sockets of this event.
  server.on(tlsServer === undefined ? 'connection' : 'secureConnection', (socket: Socket) =>
    guard.add(socket),
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
    handleClientError(guard, error, socket),
  );
  if (!limits.hasBodies) server.setTimeout(SHORT_REQUEST_TIMEOUT_MS);
  const app = polka({ server, ...errorHandlers });
  // Without a third argument, the application calls its own error handlers.
  const handle = app.handler as (request: Request, response: ServerResponse) => unknown;
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    if (!guard.admit(request, response)) return;
    if (hasBody(request)) {
      const { socket } = request;
      request.on('data', () => limits.pacer.count(socket));
      if (!limits.hasBodies && request.url !== limits.bodyPath) {
        response.shouldKeepAlive = false;
        discardRest(request);
      }
    }
    // At once: until a body is read, the runtime keeps an object for each of its chunks.
    handle(request as Request, response);
  });
  return {
    app,
    server,
    listen(address) {
      const { ip, port } = parseAddress(address);
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, ip, () => {
          server.off('error', reject);
          const bound = server.address() as AddressInfo;
          resolve(`${bound.family === 'IPv6' ? `[${ip}]` : ip}:${bound.port}`);
        });
      });
    },
    isLastOpen: guard.isLast,
    reloadKeys() {
      const next = findKeys();
      if (next !== undefined) tlsServer?.setSecureContext(buildSecureContext(next));
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
    destroy: () => server.closeAllConnections(),
  };
}
