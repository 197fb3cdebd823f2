import type { Socket } from 'node:net';

import { buildConnector, Pool, type Dispatcher } from 'undici';

import { sendCall, type Call, type CallResult } from './sendCall.js';

const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed early, before something between the ends can lose track of them. */
const IDLE_TIMEOUT_MS = 10_000;
const PROBE_TIMEOUT_MS = 1_000;
/** Path that every backend server answers with its load. */
const LOAD_PATH = '/v1/load';

/**
 * The connections to one backend server.
 *
 * @public
 */
export interface ServerConnections {
  send(call: Call): Promise<CallResult>;
  /** Asks for the load over a new connection; undefined when no answer came in time. */
  probe(): Promise<CallResult | undefined>;
  /** Replaces all connections; calls that run on the old ones may still end there. */
  renew(): void;
  close(): Promise<void>;
}

/** Tells whether a reset of any of some sockets is being handled at this very moment. */
function createSocketWatch() {
  let isFailing = false;
  const noteFailure = () => {
    isFailing = true;
    queueMicrotask(() => {
      isFailing = false;
    });
  };
  return {
    isFailing: () => isFailing,
    /** Watches a socket; its first listeners run before those of the client library. */
    watch: (socket: Socket): void => {
      socket.on('error', noteFailure);
      socket.on('end', () => {
        // A reset that arrives together with data is told as an ordinary end. A connection that was
        // reset has no peer any more; Node keeps the first answer, so nothing may ask before.
        if (socket.remoteAddress === undefined) noteFailure();
      });
    },
  };
}

type SocketWatch = ReturnType<typeof createSocketWatch>;

/** Opens connections whose errors are watched from the first moment on. */
function createConnector({ watch }: SocketWatch): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    connect(options, (...result) => {
      if (result[0] === null) watch(result[1]);
      callback(...result);
    });
  };
}

function createDispatcher(address: string, connections: number | null, watch: SocketWatch): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    connect: createConnector(watch),
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    // The deadline of each call ends it; a second clock here would only disagree.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

async function closeQuietly(dispatcher: Dispatcher): Promise<void> {
  try {
    await dispatcher.close();
  } catch {
    // Already closed or destroyed: either way its connections are gone.
  }
}

/**
 * What differs between kinds of backend server.
 *
 * @public
 */
export interface ConnectionOptions {
  /** Most connections at a time, apart from probes; calls beyond wait; `null` for no bound. */
  readonly maxConnections?: number | null;
  /** Path that answers while the server is alive. */
  readonly probePath?: string;
}

/**
 * Creates the connections to one backend server; they open when first needed.
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
  const watch = createSocketWatch();
  let shared = createDispatcher(address, maxConnections, watch);

  async function sendOnOwnConnection(call: Call): Promise<CallResult> {
    const own = createDispatcher(address, 1, watch);
    try {
      return await sendCall(own, call, watch.isFailing);
    } finally {
      void closeQuietly(own);
    }
  }

  return {
    send: (call) =>
      call.usesOwnConnection === true
        ? sendOnOwnConnection(call)
        : sendCall(shared, call, watch.isFailing),
    async probe() {
      const result = await sendOnOwnConnection({
        method: 'GET',
        path: probePath,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      return result.kind === 'answered' ? result : undefined;
    },
    renew() {
      const old = shared;
      shared = createDispatcher(address, maxConnections, watch);
      void closeQuietly(old);
    },
    close: () => closeQuietly(shared),
  };
}
