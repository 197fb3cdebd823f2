import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { sendJson } from './startStandInServer.js';

const LOOPBACK = '127.0.0.1';
/** Maximum size of a value, in bytes; longer configurations are split into parts. */
const MAX_VALUE_BYTES = 1_000_000;

/**
 * Behaviour of the platform: `up` responds with current values, `down` closes connections, and
 * `stale` responds with old values.
 *
 * @public
 */
export type PlatformMode = 'up' | 'down' | 'stale';

/** States of hosts and backend servers, as tests publish them. @public */
export interface HostStates {
  readonly hosts: Readonly<Record<string, { readonly state: 'live' | 'leaving' }>>;
  readonly backendServers?: Readonly<Record<string, { readonly state: 'live' | 'leaving' }>>;
}

/**
 * Stand-in of the platform. It serves the configuration and the host list, both with revision
 * numbers, for reads and long polls only.
 *
 * @public
 */
export interface PlatformStandIn {
  readonly url: string;
  /** Publishes a configuration and returns its revision. */
  publishConfiguration(document: unknown): number;
  /** Publishes a host list and returns its revision. */
  publishHosts(states: HostStates): number;
  /**
   * Sets the behaviour towards all readers, or towards one host. In mode `stale`, responses have
   * the values that were published when the mode was set, and the time of the change as `asOf`.
   */
  setMode(mode: PlatformMode, hostId?: string): void;
  /** Sets the delay of each response, in milliseconds. */
  setDelay(delayMs: number): void;
  /** Returns the number of reads, including rejected ones. */
  readonly countReads: () => number;
  /** Returns the number of reads rejected by the rate limit. */
  readonly countRejections: () => number;
  close(): Promise<void>;
}

/** Value with its revision number. */
interface Revisioned<Value> {
  readonly revision: number;
  readonly value: Value;
}

/** Published value whose next revision readers can wait for. */
interface Watchable<Value> {
  readonly current: () => Revisioned<Value>;
  /** Replaces the value and returns the new revision number. */
  readonly publish: (value: Value) => number;
  /** Waits for the next revision, for `waitMs` milliseconds at most. */
  readonly waitForChange: (waitMs: number) => Promise<void>;
}

function createWatchable<Value>(first: Value): Watchable<Value> {
  let current: Revisioned<Value> = { revision: 0, value: first };
  let waiters: (() => void)[] = [];
  return {
    current: () => current,
    publish(value: Value): number {
      current = { revision: current.revision + 1, value };
      const notified = waiters;
      waiters = [];
      for (const notify of notified) notify();
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

/** Behaviour of the platform towards a reader. */
interface View {
  readonly mode: PlatformMode;
  /** Values at the time when the view became stale. */
  readonly stale?: {
    readonly configuration: Revisioned<unknown>;
    readonly hosts: Revisioned<HostStates>;
    readonly at: string;
  };
}

const getAsOf = (view: View) => view.stale?.at ?? new Date().toISOString();

/** Splits the UTF-8 bytes of a text; in the parts, each byte is one latin1 character. */
function splitText(text: string): string[] {
  const parts: string[] = [];
  const buffer = Buffer.from(text);
  for (let start = 0; start < buffer.length; start += MAX_VALUE_BYTES) {
    parts.push(buffer.subarray(start, start + MAX_VALUE_BYTES).toString('latin1'));
  }
  return parts;
}

/**
 * Starts a stand-in of the platform.
 *
 * @param options - rate limit in reads per second, over all readers
 * @returns the running stand-in, with nothing published
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
  let defaultView: View = { mode: 'up' };
  let delayMs = 0;
  let reads = 0;
  let rejections = 0;
  let rateWindow = { startedAt: 0, reads: 0 };

  /** Counts a read and returns whether it exceeds the rate limit. */
  function isOverRateLimit(): boolean {
    const now = performance.now();
    if (now - rateWindow.startedAt >= 1_000) rateWindow = { startedAt: now, reads: 0 };
    rateWindow.reads += 1;
    reads += 1;
    return rateWindow.reads > readsPerSecond;
  }

  const parseHostId = (request: IncomingMessage) =>
    (request.headers['user-agent'] ?? '').replace('endiveferryd/', '');
  const getView = (request: IncomingMessage) => views.get(parseHostId(request)) ?? defaultView;

  async function waitForNewer(
    read: () => Revisioned<unknown>,
    after: number,
    waitMs: number,
    waitForChange: (ms: number) => Promise<void>,
  ): Promise<void> {
    if (read().revision <= after && waitMs > 0) await waitForChange(waitMs);
  }

  function sendConfiguration(response: ServerResponse, view: View): void {
    const { revision, value } = view.stale?.configuration ?? configuration.current();
    const text = JSON.stringify(value ?? null);
    const base = { revision, asOf: getAsOf(view) };
    if (text.length <= MAX_VALUE_BYTES) sendJson(response, 200, { ...base, document: value });
    else sendJson(response, 200, { ...base, parts: splitText(text).length });
  }

  function sendPart(response: ServerResponse, path: string): void {
    const index = Number(path.split('/').at(-1));
    const part = splitText(JSON.stringify(configuration.current().value))[index];
    response.writeHead(part === undefined ? 404 : 200, { 'content-type': 'text/plain' });
    response.end(part === undefined ? '' : Buffer.from(part, 'latin1'));
  }

  async function sendResponse(url: URL, response: ServerResponse, view: View): Promise<void> {
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
      sendJson(response, 200, { revision, asOf: getAsOf(view), ...value });
    } else if (url.pathname.startsWith('/v1/configuration/')) {
      sendPart(response, url.pathname);
    } else {
      sendJson(response, 404, {});
    }
  }

  function handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const view = getView(request);
    readers.set(request.socket, parseHostId(request));
    if (view.mode === 'down') {
      request.socket.destroy();
    } else if (isOverRateLimit()) {
      rejections += 1;
      sendJson(response, 429, { error: 'too many reads' });
    } else {
      sendResponse(new URL(request.url ?? '/', 'http://platform'), response, view).catch(() =>
        response.destroy(),
      );
    }
  }

  const server = createServer(handleRequest);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, 1_024, resolve));
  const { port } = server.address() as AddressInfo;
  const closeConnections = (hostId: string | undefined) => {
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
        defaultView = view;
      } else {
        views.set(hostId, view);
      }
      // A pending long poll must not complete with the behaviour of the previous mode.
      if (mode !== 'up') closeConnections(hostId);
    },
    setDelay(ms) {
      delayMs = ms;
    },
    countReads: () => reads,
    countRejections: () => rejections,
    async close() {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      closeConnections(undefined);
      await closed;
    },
  };
}
