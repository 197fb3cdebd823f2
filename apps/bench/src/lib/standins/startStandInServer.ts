import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import type { BackendServerId, Random } from '@endiveferry/base';
import type { LoadReport } from '@endiveferry/routing';

import type { ExecutionLog } from './createExecutionLog.js';
import { createWorkSlots, type WorkSlots } from './createWorkSlots.js';

/**
 * Faults injected into a stand-in; tests change them while it runs.
 *
 * @public
 */
export interface Faults {
  /** Factor on service times. */
  slowdown: number;
  /** Share of calls that fail with 500; the execution log counts them as executed. */
  failureShare: number;
  /** Share of calls whose connection is closed after they ran. */
  disconnectShare: number;
  /** Closes the connection of the next stream after this number of tokens, once. */
  disconnectNextStreamAfterTokens: number | undefined;
  /** Whether calls get no response. */
  isUnresponsive: boolean;
  /** Whether load reports announce that the server is leaving. */
  isLeaving: boolean;
  /** Age of the state in load reports, in milliseconds. */
  reportLagMs: number;
}

/** Call received by a stand-in. @internal */
export interface StandInCall {
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Readonly<Record<string, unknown>>;
  readonly response: ServerResponse;
  /** Aborts when the response is closed. */
  readonly signal: AbortSignal;
}

/** Behaviour that is specific to one kind of stand-in. @internal */
export interface StandInKind {
  /** Returns the id under which the execution log records a call. */
  readonly getCallId: (call: StandInCall) => string;
  /** Returns the priority of a call; a lower number is a higher priority. */
  readonly getPriority: (call: StandInCall) => number;
  /** Executes a call that holds a slot and sends its response; `wait` simulates service time. */
  readonly execute: (
    call: StandInCall,
    wait: (ms: number) => Promise<void>,
    faults: Faults,
  ) => Promise<void>;
  /** Returns fields to add to load reports. */
  readonly report?: () => Partial<LoadReport>;
  /** Handles paths that need no slot, such as cancellation; returns false for any other path. */
  readonly handleControl?: (call: StandInCall) => boolean;
}

/**
 * Stand-in of a backend server, on the loopback interface.
 *
 * @public
 */
export interface StandInServer {
  readonly serverId: BackendServerId;
  readonly address: string;
  readonly faults: Faults;
  /** Returns the number of calls executed since the start. */
  readonly countCalls: () => number;
  /** Returns the total time that calls held slots, in milliseconds. */
  readonly countBusyMs: () => number;
  /**
   * Drops all further traffic on a share of the open connections, in both directions, without
   * closing them. Returns the number of affected connections.
   */
  blackholeConnections(share: number, random: Random): number;
  /** Stops listening and closes all open connections. */
  stop(): Promise<void>;
  /** Listens again at the same address. */
  restart(): Promise<void>;
}

/** Options of {@link startStandInServer}. @internal */
export interface StandInOptions {
  readonly serverId: BackendServerId;
  /** Number of execution slots. */
  readonly concurrency: number;
  /** Maximum number of calls that wait for a slot; further calls are rejected with 429. */
  readonly maxQueued: number;
  readonly executionLog: ExecutionLog;
  readonly random: Random;
  readonly createKind: () => StandInKind;
}

const LOOPBACK = '127.0.0.1';

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

/** Sends a response with a JSON body. @internal */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Creates a function that returns the load as it was `reportLagMs` ago. */
function createDelayedLoadReader(slots: WorkSlots, faults: Faults) {
  const history: { at: number; running: number; queued: number }[] = [];
  return () => {
    const now = performance.now();
    history.push({ at: now, running: slots.running(), queued: slots.queued() });
    const cutoff = now - faults.reportLagMs;
    while ((history[1]?.at ?? Infinity) <= cutoff) history.shift();
    const { running, queued } = history[0] ?? { running: 0, queued: 0 };
    return { running, queued };
  };
}

/**
 * Starts the stand-in of one backend server.
 *
 * @param options - server, limits and behaviour of the stand-in
 * @returns the running stand-in
 * @internal
 */
export async function startStandInServer(options: StandInOptions): Promise<StandInServer> {
  const { serverId, executionLog, random } = options;
  const faults: Faults = {
    slowdown: 1,
    failureShare: 0,
    disconnectShare: 0,
    disconnectNextStreamAfterTokens: undefined,
    isUnresponsive: false,
    isLeaving: false,
    reportLagMs: 200,
  };
  const kind = options.createKind();
  const slots = createWorkSlots(options.concurrency, options.maxQueued);
  const readDelayedLoad = createDelayedLoadReader(slots, faults);
  const sockets = new Set<Socket>();
  const blackholed = new WeakSet<Socket>();
  let calls = 0;
  let busyMs = 0;

  const wait = (ms: number) =>
    new Promise<void>((resolve) => setTimeout(resolve, ms * faults.slowdown));

  async function execute(call: StandInCall): Promise<void> {
    const startedAt = performance.now();
    const key = call.headers['idempotency-key'];
    const execution = executionLog.start({
      serverId,
      callId: kind.getCallId(call),
      path: call.path,
      idempotencyKey: typeof key === 'string' ? key : undefined,
    });
    calls += 1;
    call.response.setHeader('x-request-id', kind.getCallId(call));
    if (random.nextFraction() < faults.failureShare) {
      sendJson(call.response, 500, { error: 'injected failure' });
    } else {
      await kind.execute(call, wait, faults);
    }
    if (random.nextFraction() < faults.disconnectShare) call.response.socket?.destroy();
    executionLog.end(execution);
    busyMs += performance.now() - startedAt;
  }

  async function handleCall(call: StandInCall): Promise<void> {
    if (call.path === '/v1/load') {
      const report = { ...readDelayedLoad(), isLeaving: faults.isLeaving, ...kind.report?.() };
      sendJson(call.response, 200, report);
      return;
    }
    if (kind.handleControl?.(call) === true) return;
    if (!(await slots.acquire(kind.getPriority(call), call.signal))) {
      sendJson(call.response, 429, { error: 'the queue is full' });
      return;
    }
    try {
      await execute(call);
    } finally {
      slots.release();
    }
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    // Simulates a network device that has lost the connection's state and drops its packets.
    if (faults.isUnresponsive || blackholed.has(request.socket)) return;
    const abortController = new AbortController();
    response.once('close', () => abortController.abort());
    const body = await readJson(request);
    const path = (request.url ?? '/').replace(/\?.*$/, '');
    await handleCall({
      path,
      headers: request.headers,
      body,
      response,
      signal: abortController.signal,
    });
  }

  const server = createServer((request, response) => {
    handleRequest(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
  });
  const listen = (port: number) =>
    new Promise<number>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, LOOPBACK, 1_024, () => resolve((server.address() as AddressInfo).port));
    });
  const port = await listen(0);

  return {
    serverId,
    address: `${LOOPBACK}:${port}`,
    faults,
    countCalls: () => calls,
    countBusyMs: () => busyMs,
    blackholeConnections(share, connectionRandom) {
      const chosen = [...sockets].filter(() => connectionRandom.nextFraction() < share);
      for (const socket of chosen) {
        blackholed.add(socket);
        socket.pause();
        socket.cork();
      }
      return chosen.length;
    },
    async stop() {
      if (!server.listening) return;
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      for (const socket of sockets) socket.destroy();
      await closed;
    },
    async restart() {
      await listen(port);
    },
  };
}
