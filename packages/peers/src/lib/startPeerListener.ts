import { createServer, type Server, type Socket } from 'node:net';
import { createServer as createTlsServer, TLSSocket } from 'node:tls';

import type { Clock, HostId, ProcessId } from '@endiveferry/base';
import { parseAddress } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import { createPeerConnection, type PeerConnection } from './createPeerConnection.js';
import { helloSchema, type PeerRequestKind } from './messages.js';
import { findCertificateHost, type TlsKeys } from './openPeerSocket.js';

/** Does what one known host asks. @public */
export type HandleHostRequest = (
  hostId: HostId,
  kind: PeerRequestKind,
  body: unknown,
) => Promise<unknown>;

/**
 * Options of the listener for other hosts.
 *
 * @internal
 */
export interface PeerListenerOptions {
  readonly address: string;
  readonly keys: () => TlsKeys | undefined;
  readonly processId: ProcessId;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether a host is on the published list. */
  readonly isListed: (hostId: HostId) => boolean;
  readonly handleRequest: HandleHostRequest;
}

/**
 * The listener for other hosts.
 *
 * @internal
 */
export interface PeerListener {
  /** The address in use, with the port that was given. */
  readonly address: string;
  /** Uses new TLS keys for connections from now on. */
  readonly reloadKeys: () => void;
  close(): Promise<void>;
}

class PeerRefusedError extends Error {}

/** Checks who is on the other side of a connection. */
function checkHello(socket: Socket, body: unknown, options: PeerListenerOptions): HostId {
  const { hostId } = helloSchema.parse(body);
  if (!options.isListed(hostId)) throw new PeerRefusedError(`${hostId} is not on the list`);
  if (socket instanceof TLSSocket) {
    const name = findCertificateHost(socket.getPeerCertificate());
    if (name !== hostId) throw new PeerRefusedError(`the certificate does not name ${hostId}`);
  }
  return hostId;
}

function serveSocket(socket: Socket, options: PeerListenerOptions): PeerConnection {
  let hostId: HostId | undefined;
  return createPeerConnection(socket, options.clock, (kind, body) => {
    if (kind === 'hello') {
      hostId = checkHello(socket, body, options);
      return Promise.resolve({ processId: options.processId });
    }
    if (hostId === undefined) throw new PeerRefusedError('the first request must be a hello');
    // A host may have left the list since it said hello.
    if (!options.isListed(hostId)) throw new PeerRefusedError(`${hostId} is not on the list`);
    return options.handleRequest(hostId, kind, body);
  });
}

function createPeerServer(
  options: PeerListenerOptions,
  onSocket: (socket: Socket) => void,
): { readonly server: Server; readonly reload: () => void } {
  const keys = options.keys();
  if (keys === undefined) {
    return { server: createServer(onSocket), reload: () => undefined };
  }
  const buildOptions = (current: TlsKeys) => ({
    cert: current.certificate,
    key: current.key,
    ca: current.authority,
    requestCert: true,
    rejectUnauthorized: true,
  });
  const server = createTlsServer(buildOptions(keys), onSocket);
  return {
    server,
    reload() {
      const next = options.keys();
      if (next !== undefined) server.setSecureContext(buildOptions(next));
    },
  };
}

function listen(server: Server, address: string): Promise<string> {
  const { ip, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      server.off('error', reject);
      const bound = server.address();
      const boundPort = typeof bound === 'object' && bound !== null ? bound.port : port;
      resolve(`${ip.includes(':') ? `[${ip}]` : ip}:${boundPort}`);
    });
  });
}

/**
 * Starts the listener for other hosts.
 *
 * @param options - see {@link PeerListenerOptions}
 * @returns the listener
 * @throws Error when the address cannot be used
 * @internal
 */
export async function startPeerListener(options: PeerListenerOptions): Promise<PeerListener> {
  const connections = new Set<PeerConnection>();
  const { server, reload } = createPeerServer(options, (socket) => {
    const connection = serveSocket(socket, options);
    connections.add(connection);
    void connection.closed.then(() => connections.delete(connection));
  });
  server.on('tlsClientError', (error: Error) =>
    options.logger.warn('a connection of another host was refused', { error: error.message }),
  );
  const address = await listen(server, options.address);
  return {
    address,
    reloadKeys: reload,
    close() {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      for (const connection of connections) connection.destroy();
      return closed;
    },
  };
}
