import { createServer, type Server, type ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';

import type { TlsKeys } from '@endiveferry/peers';
import { parseAddress } from '@endiveferry/settings';
import polka, { type IOptions, type Polka } from 'polka';

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
  /** Reloads the TLS keys, which apply to new connections. */
  reloadKeys(): void;
  /** Stops accepting connections, and waits until those in use have ended. */
  close(): Promise<void>;
  /** Closes all connections at once. */
  destroy(): void;
}

/**
 * Creates an HTTP server, with TLS if there are keys.
 *
 * @param findKeys - returns the current TLS keys; called again at each reload
 * @param errorHandlers - respond to requests without a route, and to those whose handler throws
 * @param serverOptions - connection limits and timeouts
 * @returns the server, without routes and not yet listening
 * @internal
 */
export function createHttpServer(
  findKeys: () => TlsKeys | undefined,
  errorHandlers: Pick<IOptions, 'onNoMatch' | 'onError'>,
  serverOptions: ServerOptions = {},
): HttpServer {
  const keys = findKeys();
  const buildSecureContext = ({ certificate, key }: TlsKeys) => ({ cert: certificate, key });
  const tlsServer =
    keys === undefined
      ? undefined
      : createTlsServer({ ...serverOptions, ...buildSecureContext(keys) });
  const server: Server = tlsServer ?? createServer(serverOptions);
  const app = polka({ server, ...errorHandlers });
  return {
    app,
    server,
    listen(address) {
      const { ip, port } = parseAddress(address);
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        app.listen(port, ip, () => {
          server.off('error', reject);
          const bound = server.address() as AddressInfo;
          resolve(`${bound.family === 'IPv6' ? `[${ip}]` : ip}:${bound.port}`);
        });
      });
    },
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
