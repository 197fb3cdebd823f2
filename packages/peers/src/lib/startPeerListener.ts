import { createServer, type Server, type Socket } from 'node:net';
import { createServer as createTlsServer, TLSSocket } from 'node:tls';

import type { Clock, HostId, MemoryBudget, ProcessId } from '@endiveferry/base';
import { parseAddress } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import { MAX_MESSAGE_BYTES } from './createFrameReader.js';
import {
  createPeerConnection,
  type HandlePeerRequest,
  type PeerConnection,
} from './createPeerConnection.js';
import { helloSchema, type PeerRequestKind } from './messages.js';
import { findCertificateHost, type TlsKeys } from './openPeerSocket.js';

/** Maximum length of a message before the hello of a connection, in bytes. */
const MAX_HELLO_BYTES = 4_096;
/** Default number of connections that may wait for their hello at a time. */
const MAX_UNIDENTIFIED = 512;
/** Time in which a connection has to say its hello, in milliseconds. */
const HELLO_TIMEOUT_MS = 5_000;

/**
 * Handles a request of an identified host; a thrown error rejects the request. The signal aborts
 * when the connection to the host closes.
 *
 * @public
 */
export type HandleHostRequest = (
  hostId: HostId,
  kind: PeerRequestKind,
  body: unknown,
  signal: AbortSignal,
) => Promise<unknown>;

/**
 * Answers a request of a host for a tunnel. If `attach` is set, the tunnel is open: it is called with
 * the socket of the connection, which then carries the bytes of the tunnel.
 *
 * @public
 */
export type AcceptTunnel = (
  hostId: HostId,
  body: unknown,
) => Promise<{ readonly reply: unknown; readonly attach?: (socket: Socket) => void }>;

/**
 * Options of the listener for connections of other hosts.
 *
 * @internal
 */
export interface PeerListenerOptions {
  /** Address to listen on, `ip:port`; port 0 chooses a free port. */
  readonly address: string;
  /** Returns the current credentials for mutual TLS; undefined accepts plain TCP connections. */
  readonly keys: () => TlsKeys | undefined;
  readonly processId: ProcessId;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns whether a host is on the published host list. */
  readonly isListed: (hostId: HostId) => boolean;
  readonly handleRequest: HandleHostRequest;
  readonly acceptTunnel?: AcceptTunnel;
  /** Memory for the messages that arrive on all connections. */
  readonly budget: MemoryBudget;
  /** Number of connections that may wait for their hello at a time. */
  readonly maxUnidentified?: number | undefined;
}

/**
 * Listener for connections of other hosts.
 *
 * @internal
 */
export interface PeerListener {
  /** Address in use, with the port that was assigned. */
  readonly address: string;
  /** Applies the current TLS credentials to new connections. */
  readonly reloadKeys: () => void;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

class PeerRejectedError extends Error {}

/** Validates the hello of a connection and returns the id of the remote host. */
function checkHello(socket: Socket, body: unknown, options: PeerListenerOptions): HostId {
  const { hostId } = helloSchema.parse(body);
  if (!options.isListed(hostId)) throw new PeerRejectedError(`${hostId} is not on the list`);
  if (socket instanceof TLSSocket) {
    const name = findCertificateHost(socket.getPeerCertificate());
    if (name !== hostId) throw new PeerRejectedError(`the certificate does not name ${hostId}`);
  }
  return hostId;
}

function handleSocket(
  socket: Socket,
  options: PeerListenerOptions,
  onIdentified: () => void,
): PeerConnection {
  const { remoteAddress } = socket;
  let hostId: HostId | undefined;

  async function acceptTunnel(from: HostId, body: unknown): Promise<unknown> {
    if (options.acceptTunnel === undefined) throw new PeerRejectedError('tunnels are not accepted');
    const { reply, attach } = await options.acceptTunnel(from, body);
    // The reply is the last message on the connection, and is written before.
    if (attach !== undefined) setImmediate(() => attach(connection.detach()));
    return reply;
  }

  const handleRequest: HandlePeerRequest = (kind, body, signal) => {
    if (kind === 'hello') {
      hostId = checkHello(socket, body, options);
      onIdentified();
      return Promise.resolve({ processId: options.processId });
    }
    if (hostId === undefined) throw new PeerRejectedError('the first request must be a hello');
    // The host may have been removed from the list since its hello.
    if (!options.isListed(hostId)) throw new PeerRejectedError(`${hostId} is not on the list`);
    if (kind === 'open-tunnel') return acceptTunnel(hostId, body);
    return options.handleRequest(hostId, kind, body, signal);
  };
  const connection = createPeerConnection(socket, options.clock, handleRequest, {
    budget: options.budget,
    findMaxMessageBytes: () => (hostId === undefined ? MAX_HELLO_BYTES : MAX_MESSAGE_BYTES),
    onFailed: (error) =>
      options.logger.info('an incoming connection failed', {
        peer: hostId ?? 'unknown',
        remoteAddress,
        error: error.message,
      }),
  });
  const cancelTimeout = options.clock.schedule(HELLO_TIMEOUT_MS, () => {
    if (hostId === undefined) socket.destroy(new Error(`no hello within ${HELLO_TIMEOUT_MS} ms`));
  });
  void connection.closed.then(cancelTimeout);
  return connection;
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
 * Starts a listener for connections of other hosts.
 *
 * @param options - see {@link PeerListenerOptions}
 * @returns the listener
 * @throws Error when the address cannot be bound
 * @internal
 */
export async function startPeerListener(options: PeerListenerOptions): Promise<PeerListener> {
  const connections = new Set<PeerConnection>();
  const unidentified = new Set<Socket>();
  const { server, reload } = createPeerServer(options, (socket) => {
    const [oldest] = unidentified;
    if (oldest !== undefined && unidentified.size >= (options.maxUnidentified ?? MAX_UNIDENTIFIED))
      oldest.destroy(new Error('too many connections wait for their hello'));
    if (oldest?.destroyed === true) unidentified.delete(oldest);
    unidentified.add(socket);
    const connection = handleSocket(socket, options, () => unidentified.delete(socket));
    connections.add(connection);
    void connection.closed.then(() => {
      unidentified.delete(socket);
      connections.delete(connection);
    });
  });
  server.on('tlsClientError', (error: Error) =>
    options.logger.warn('TLS handshake of an incoming peer connection failed', {
      error: error.message,
    }),
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
