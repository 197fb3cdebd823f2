import { createServer, type Server, type ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';

import type { TlsKeys } from '@endiveferry/peers';
import { parseAddress } from '@endiveferry/settings';
import polka, { type IOptions, type Polka } from 'polka';

/**
 * A listening HTTP server.
 *
 * @internal
 */
export interface HttpServer {
  /** The routes that it serves. */
  readonly app: Polka;
  /** The server itself, for its timeouts. */
  readonly server: Server;
  /** Listens, and tells the address in use. */
  listen(address: string): Promise<string>;
  /** Uses new TLS keys for connections from now on. */
  reloadKeys(): void;
  /** Takes no more connections and waits until those in use have ended. */
  close(): Promise<void>;
  /** Cuts off every connection. */
  destroy(): void;
}

/**
 * Creates an HTTP server, over TLS when there are keys.
 *
 * @param findKeys - the TLS keys in force; asked again at each reload
 * @param errorHandlers - what answers requests that have no route or whose handler throws
 * @param serverOptions - limits and timeouts of connections
 * @returns the server, without routes yet
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
