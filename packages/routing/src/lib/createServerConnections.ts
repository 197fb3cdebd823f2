import type { Socket } from 'node:net';

import { createMemoryBudget, type MemoryBudget } from '@endiveferry/base';
import { buildConnector, Pool, type Dispatcher } from 'undici';

import { createIdentifiedClient, type IdentifiedOptions } from './createIdentifiedClient.js';
import { createSocketMonitor, type SocketMonitor } from './createSocketMonitor.js';
import type { ServerSocket } from './ServerSocket.js';
import { sendCall, type Call, type CallResult } from './sendCall.js';

const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed early, before a middlebox can drop their state. */
const IDLE_TIMEOUT_MS = 10_000;
const PROBE_TIMEOUT_MS = 1_000;
const MAX_PROBE_BYTES = 65_536;
/** Memory for the responses of one server, in bytes, unless it is shared with others. */
const DEFAULT_BUDGET_BYTES = 16_000_000;
/** Path of the load report, which every backend server provides. */
const LOAD_PATH = '/v1/load';

/**
 * Connections to one backend server.
 *
 * @public
 */
export interface ServerConnections {
  send(call: Call): Promise<CallResult>;
  /** Requests the probe path over a new connection; returns undefined without a timely response. */
  probe(): Promise<CallResult | undefined>;
  /** Replaces all connections; running calls may finish on the old ones. */
  renew(): void;
  close(): Promise<void>;
}

/** Opens a socket to a server, given how to connect to it directly. @public */
export type OpenServerSocket = (connectDirectly: () => Promise<Socket>) => Promise<ServerSocket>;

/** Creates a connector whose sockets are watched for errors from the start. */
function createConnector(
  { watch }: SocketMonitor,
  openSocket: OpenServerSocket,
): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const connectDirectly = (options: buildConnector.Options) =>
    new Promise<Socket>((resolve, reject) => {
      connect(options, (error, socket) => {
        if (error === null) resolve(socket);
        else reject(error);
      });
    });
  return (options, callback) => {
    openSocket(() => connectDirectly(options)).then(
      (socket) => {
        watch(socket);
        // The client library only reads, writes and closes it; `ref` and `unref` are optional.
        callback(null, socket as Socket);
      },
      (error: unknown) => callback(error instanceof Error ? error : new Error(String(error)), null),
    );
  };
}

function createDispatcher(
  address: string,
  connections: number | null,
  connector: buildConnector.connector,
): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    connect: connector,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    // Calls are limited by their deadlines; a second timeout here could only contradict them.
    headersTimeout: 0,
    bodyTimeout: 0,
    factory: (origin, options: object) =>
      createIdentifiedClient({
        origin,
        options,
        dispatchSeparately: (call, handler) =>
          dispatchOnNewConnection(address, connector, call, handler),
      }),
  });
}

/** Sends one call over a connection that is opened for it and closed afterwards. */
function dispatchOnNewConnection(
  address: string,
  connector: buildConnector.connector,
  call: IdentifiedOptions,
  handler: Dispatcher.DispatchHandler,
): void {
  const dispatcher = createDispatcher(address, 1, connector);
  dispatcher.dispatch({ ...call, reset: true }, handler);
  void closeQuietly(dispatcher);
}

async function closeQuietly(dispatcher: Dispatcher): Promise<void> {
  try {
    await dispatcher.close();
  } catch {
    // Already closed or destroyed: either way there are no connections left.
  }
}

/**
 * Connection options, which depend on the kind of backend server.
 *
 * @public
 */
export interface ConnectionOptions {
  /** Maximum number of connections, apart from probes; further calls wait; `null` for no limit. */
  readonly maxConnections?: number | null;
  /** Memory for responses, shared with the connections to other servers. */
  readonly budget?: MemoryBudget;
  /** Opens the sockets of all connections; directly by default. */
  readonly openSocket?: OpenServerSocket;
  /** Called with an exception in a listener of a connection, which is closed then. */
  readonly onListenerError?: (error: Error, event: string) => void;
  /** Path that responds while the server is alive. */
  readonly probePath?: string;
}

/**
 * Creates the connections to one backend server; they are opened on demand.
 *
 * @param address - `ip:port`
 * @param options - see {@link ConnectionOptions}
 * @returns the connections
 * @public
 */
export function createServerConnections(
  address: string,
  options: ConnectionOptions = {},
): ServerConnections {
  const { maxConnections = null, probePath = LOAD_PATH } = options;
  const budget = options.budget ?? createMemoryBudget(DEFAULT_BUDGET_BYTES);
  const monitor = createSocketMonitor(options.onListenerError);
  const environment = { monitor, budget };
  const connector = createConnector(monitor, options.openSocket ?? ((connect) => connect()));
  let shared = createDispatcher(address, maxConnections, connector);

  async function sendOnNewConnection(call: Call): Promise<CallResult> {
    const dispatcher = createDispatcher(address, 1, connector);
    try {
      return await sendCall(dispatcher, call, environment);
    } finally {
      void closeQuietly(dispatcher);
    }
  }

  return {
    send: (call) =>
      call.usesNewConnection === true
        ? sendOnNewConnection(call)
        : sendCall(shared, call, environment),
    async probe() {
      const result = await sendOnNewConnection({
        method: 'GET',
        path: probePath,
        maxResponseBytes: MAX_PROBE_BYTES,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      return result.kind === 'answered' ? result : undefined;
    },
    renew() {
      const old = shared;
      shared = createDispatcher(address, maxConnections, connector);
      void closeQuietly(old);
    },
    close: () => closeQuietly(shared),
  };
}
