import { Pool, type Dispatcher } from 'undici';

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

function createDispatcher(address: string, connections: number | null): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
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
  let shared = createDispatcher(address, maxConnections);

  async function sendOnOwnConnection(call: Call): Promise<CallResult> {
    const own = createDispatcher(address, 1);
    try {
      return await sendCall(own, call);
    } finally {
      void closeQuietly(own);
    }
  }

  return {
    send: (call) =>
      call.usesOwnConnection === true ? sendOnOwnConnection(call) : sendCall(shared, call),
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
      shared = createDispatcher(address, maxConnections);
      void closeQuietly(old);
    },
    close: () => closeQuietly(shared),
  };
}
