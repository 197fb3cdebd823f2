import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { sendJson } from './startStandInServer.js';

const LOOPBACK = '127.0.0.1';
/** Longest value that the service holds, in bytes. */
const MAX_VALUE_BYTES = 1_000_000;

/** How the platform behaves. @public */
export type PlatformMode = 'up' | 'down' | 'stale';

/** The list of hosts as tests write it. @public */
export interface HostStates {
  readonly hosts: Readonly<Record<string, { readonly state: 'live' | 'leaving' }>>;
  readonly backendServers?: Readonly<Record<string, { readonly state: 'live' | 'leaving' }>>;
}

/**
 * A stand-in of the platform: numbered configuration and a lagging list of hosts, to be read and
 * watched only.
 *
 * @public
 */
export interface PlatformStandIn {
  readonly url: string;
  publishConfiguration(document: unknown): number;
  publishHosts(states: HostStates): number;
  /**
   * Sets how the platform behaves towards all readers, or towards one host. `stale` answers with
   * what was published when the mode was set, and says as of when.
   */
  setMode(mode: PlatformMode, hostId?: string): void;
  /** Delays each answer, in milliseconds. */
  setDelay(delayMs: number): void;
  readonly countReads: () => number;
  readonly countRejections: () => number;
  close(): Promise<void>;
}

interface Watch<Value> {
  readonly revision: number;
  readonly value: Value;
}

/** A published value that readers can wait for. */
interface Watchable<Value> {
  readonly current: () => Watch<Value>;
  readonly publish: (value: Value) => number;
  readonly waitForChange: (waitMs: number) => Promise<void>;
}

/** Creates a value that readers can wait for. */
function createWatchable<Value>(first: Value): Watchable<Value> {
  let current: Watch<Value> = { revision: 0, value: first };
  let waiters: (() => void)[] = [];
  return {
    current: () => current,
    publish(value: Value): number {
      current = { revision: current.revision + 1, value };
      const woken = waiters;
      waiters = [];
      for (const wake of woken) wake();
      return current.revision;
    },
    waitForChange(waitMs: number): Promise<void> {
      return new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs).unref();
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    },
  };
}

/** What the platform shows to a reader. */
interface View {
  readonly mode: PlatformMode;
  /** What was published when the view became stale. */
  readonly stale?: {
    readonly configuration: Watch<unknown>;
    readonly hosts: Watch<HostStates>;
    readonly at: string;
  };
}

const readAsOf = (view: View) => view.stale?.at ?? new Date().toISOString();

function splitText(text: string): string[] {
  const parts: string[] = [];
  const buffer = Buffer.from(text);
  for (let start = 0; start < buffer.length; start += MAX_VALUE_BYTES) {
    parts.push(buffer.subarray(start, start + MAX_VALUE_BYTES).toString('latin1'));
  }
  return parts;
}

/**
 * Starts a platform stand-in.
 *
 * @param options - reads that it takes in a second, over all readers
 * @returns the stand-in, with nothing published
 * @public
 */
export async function startPlatformStandIn(
  options: { readonly readsPerSecond?: number } = {},
): Promise<PlatformStandIn> {
  const readsPerSecond = options.readsPerSecond ?? 2_000;
  const configuration = createWatchable<unknown>(undefined);
  const hosts = createWatchable<HostStates>({ hosts: {} });
  const sockets = new Set<Socket>();
  const readers = new WeakMap<Socket, string>();
  const views = new Map<string, View>();
  let common: View = { mode: 'up' };
  let delayMs = 0;
  let reads = 0;
  let refusals = 0;
  let second = { startedAt: 0, reads: 0 };

  function isOverRate(): boolean {
    const now = performance.now();
    if (now - second.startedAt >= 1_000) second = { startedAt: now, reads: 0 };
    second.reads += 1;
    reads += 1;
    return second.reads > readsPerSecond;
  }

  const findHostId = (request: IncomingMessage) =>
    (request.headers['user-agent'] ?? '').replace('endiveferryd/', '');
  const findView = (request: IncomingMessage) => views.get(findHostId(request)) ?? common;

  async function waitForNewer(
    read: () => Watch<unknown>,
    after: number,
    waitMs: number,
    waitForChange: (ms: number) => Promise<void>,
  ): Promise<void> {
    if (read().revision <= after && waitMs > 0) await waitForChange(waitMs);
  }

  function sendConfiguration(response: ServerResponse, view: View): void {
    const { revision, value } = view.stale?.configuration ?? configuration.current();
    const text = JSON.stringify(value ?? null);
    const base = { revision, asOf: readAsOf(view) };
    if (text.length <= MAX_VALUE_BYTES) sendJson(response, 200, { ...base, document: value });
    else sendJson(response, 200, { ...base, parts: splitText(text).length });
  }

  function sendPart(response: ServerResponse, path: string): void {
    const index = Number(path.split('/').at(-1));
    const part = splitText(JSON.stringify(configuration.current().value))[index];
    response.writeHead(part === undefined ? 404 : 200, { 'content-type': 'text/plain' });
    response.end(part === undefined ? '' : Buffer.from(part, 'latin1'));
  }

  async function answer(url: URL, response: ServerResponse, view: View): Promise<void> {
    const after = Number(url.searchParams.get('after') ?? 0);
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
    if (url.pathname === '/v1/configuration') {
      const read = () => view.stale?.configuration ?? configuration.current();
      await waitForNewer(read, after, waitMs, configuration.waitForChange);
      sendConfiguration(response, view);
    } else if (url.pathname === '/v1/hosts') {
      const read = () => view.stale?.hosts ?? hosts.current();
      await waitForNewer(read, after, waitMs, hosts.waitForChange);
      const { revision, value } = read();
      sendJson(response, 200, { revision, asOf: readAsOf(view), ...value });
    } else if (url.pathname.startsWith('/v1/configuration/')) {
      sendPart(response, url.pathname);
    } else {
      sendJson(response, 404, {});
    }
  }

  function receive(request: IncomingMessage, response: ServerResponse): void {
    const view = findView(request);
    readers.set(request.socket, findHostId(request));
    if (view.mode === 'down') {
      request.socket.destroy();
    } else if (isOverRate()) {
      refusals += 1;
      sendJson(response, 429, { error: 'too many reads' });
    } else {
      answer(new URL(request.url ?? '/', 'http://platform'), response, view).catch(() =>
        response.destroy(),
      );
    }
  }

  const server = createServer(receive);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, 1_024, resolve));
  const { port } = server.address() as AddressInfo;
  const cutReaders = (hostId: string | undefined) => {
    for (const socket of sockets) {
      if (hostId === undefined || readers.get(socket) === hostId) socket.destroy();
    }
  };

  return {
    url: `http://${LOOPBACK}:${port}`,
    publishConfiguration: (document) => configuration.publish(document),
    publishHosts: (states) => hosts.publish(states),
    setMode(mode, hostId) {
      const at = new Date().toISOString();
      const stale = { configuration: configuration.current(), hosts: hosts.current(), at };
      const view: View = mode === 'stale' ? { mode, stale } : { mode };
      if (hostId === undefined) {
        views.clear();
        common = view;
      } else {
        views.set(hostId, view);
      }
      // A watch that began under another mode must not be answered by it.
      if (mode !== 'up') cutReaders(hostId);
    },
    setDelay(ms) {
      delayMs = ms;
    },
    countReads: () => reads,
    countRejections: () => refusals,
    async close() {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      cutReaders(undefined);
      await closed;
    },
  };
}
