import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import type { BackendServerId, Random } from '@endiveferry/base';
import type { LoadReport } from '@endiveferry/routing';

import type { ExecutionLog } from './createExecutionLog.js';
import { createWorkSlots, type WorkSlots } from './createWorkSlots.js';

/**
 * What is wrong with a stand-in; changed while it runs.
 *
 * @public
 */
export interface Faults {
  /** Service times are multiplied by this. */
  slowdown: number;
  /** Share of calls that fail with 500 after they ran. */
  failureShare: number;
  /** Share of calls whose connection is cut after they ran. */
  cutShare: number;
  /** Cuts the connection of the next stream after so many tokens, once. */
  cutNextStreamAfterTokens: number | undefined;
  /** Whether every call is swallowed. */
  isUnresponsive: boolean;
  /** Whether the server says that it leaves. */
  isLeaving: boolean;
  /** How old load reports are, in milliseconds. */
  reportLagMs: number;
}

/** One call at a stand-in. @internal */
export interface StandInCall {
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Readonly<Record<string, unknown>>;
  readonly response: ServerResponse;
  /** Aborts when the other side goes away. */
  readonly signal: AbortSignal;
}

/** What a kind of stand-in does, besides what all do. @internal */
export interface StandInKind {
  /** Finds the id by which the ledger knows a call. */
  readonly findCallId: (call: StandInCall) => string;
  readonly findPriority: (call: StandInCall) => number;
  /** Works on a call that has a place, and answers it; `wait` passes service time. */
  readonly work: (
    call: StandInCall,
    wait: (ms: number) => Promise<void>,
    faults: Faults,
  ) => Promise<void>;
  /** What the kind adds to load reports. */
  readonly report?: () => Partial<LoadReport>;
  /** Answers paths that take no place, such as cancellation; false for any other path. */
  readonly handleControl?: (call: StandInCall) => boolean;
}

/**
 * A stand-in backend server on loopback.
 *
 * @public
 */
export interface StandInServer {
  readonly serverId: BackendServerId;
  readonly address: string;
  readonly faults: Faults;
  /** Calls that took a place, ever. */
  readonly countCalls: () => number;
  /** Time that places were taken, ever, in milliseconds. */
  readonly countBusyMs: () => number;
  /** Makes a share of the open connections swallow everything from now on, in both directions. */
  blackholeConnections(share: number, random: Random): number;
  /** Refuses connections, and cuts those that are open. */
  stop(): Promise<void>;
  /** Listens again, at the same address. */
  restart(): Promise<void>;
}

/** Options of a stand-in. @internal */
export interface StandInOptions {
  readonly serverId: BackendServerId;
  readonly concurrency: number;
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

/** Answers with one JSON document. @internal */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Load as it was a while ago, since reports lag. */
function createLaggingReport(slots: WorkSlots, faults: Faults) {
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
 * Starts a stand-in.
 *
 * @param options - see {@link StandInOptions}
 * @returns the running stand-in
 * @internal
 */
export async function startStandInServer(options: StandInOptions): Promise<StandInServer> {
  const { serverId, executionLog, random } = options;
  const faults: Faults = {
    slowdown: 1,
    failureShare: 0,
    cutShare: 0,
    cutNextStreamAfterTokens: undefined,
    isUnresponsive: false,
    isLeaving: false,
    reportLagMs: 200,
  };
  const kind = options.createKind();
  const slots = createWorkSlots(options.concurrency, options.maxQueued);
  const buildLoad = createLaggingReport(slots, faults);
  const sockets = new Set<Socket>();
  const silenced = new WeakSet<Socket>();
  let calls = 0;
  let busyMs = 0;

  const wait = (ms: number) =>
    new Promise<void>((resolve) => setTimeout(resolve, ms * faults.slowdown));

  async function work(call: StandInCall): Promise<void> {
    const startedAt = performance.now();
    const key = call.headers['idempotency-key'];
    const execution = executionLog.start({
      serverId,
      callId: kind.findCallId(call),
      path: call.path,
      idempotencyKey: typeof key === 'string' ? key : undefined,
    });
    calls += 1;
    call.response.setHeader('x-request-id', kind.findCallId(call));
    if (random.nextFraction() < faults.failureShare) {
      sendJson(call.response, 500, { error: 'injected failure' });
    } else {
      await kind.work(call, wait, faults);
    }
    if (random.nextFraction() < faults.cutShare) call.response.socket?.destroy();
    executionLog.end(execution);
    busyMs += performance.now() - startedAt;
  }

  async function handle(call: StandInCall): Promise<void> {
    if (call.path === '/v1/load') {
      const report = { ...buildLoad(), isLeaving: faults.isLeaving, ...kind.report?.() };
      sendJson(call.response, 200, report);
      return;
    }
    if (kind.handleControl?.(call) === true) return;
    if (!(await slots.acquire(kind.findPriority(call), call.signal))) {
      sendJson(call.response, 429, { error: 'the queue is full' });
      return;
    }
    try {
      await work(call);
    } finally {
      slots.release();
    }
  }

  async function receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    // Something between the two ends has lost track of the connection: nothing gets through.
    if (faults.isUnresponsive || silenced.has(request.socket)) return;
    const gone = new AbortController();
    response.once('close', () => gone.abort());
    const body = await readJson(request);
    const path = (request.url ?? '/').replace(/\?.*$/, '');
    await handle({ path, headers: request.headers, body, response, signal: gone.signal });
  }

  const server = createServer((request, response) => {
    receive(request, response).catch(() => response.destroy());
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
    blackholeConnections(share, chance) {
      const chosen = [...sockets].filter(() => chance.nextFraction() < share);
      for (const socket of chosen) {
        silenced.add(socket);
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
