import type { Socket } from 'node:net';

import { describeError, type Clock, type Random } from '@endiveferry/base';
import type { ServerSocket } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';

import { createSilenceMonitor } from './createSilenceMonitor.js';

/** Head start of a direct connection over one through another host, in milliseconds. */
const DIRECT_HEAD_START_MS = 150;
/** The same while other servers cannot be reached directly, in milliseconds. */
const SHORT_HEAD_START_MS = 20;
/** Timeout of a connection that only checks a path, in milliseconds. */
const CHECK_TIMEOUT_MS = 250;
/** Time between checks whether a direct path is back, in milliseconds, up to 1.5 times as long. */
const RECHECK_MS = 1_000;
/** Time for which a server that no host reached is not tried through another one, in milliseconds. */
const GONE_MS = 1_000;
const MAX_CHECKED_SERVERS = 3;

/**
 * Decides how this host connects to backend servers: directly, or through another host while it has
 * no direct path.
 *
 * @public
 */
export interface ServerPaths {
  /** Opens a socket to a server. */
  openSocket(address: string, connectDirectly: () => Promise<Socket>): Promise<ServerSocket>;
  /** Records that a call waits for a server; returns a function that ends this. */
  startCall(address: string): () => void;
  /** Whether a server is known to be reachable through other hosts only. */
  isCut(address: string): boolean;
  /** Whether that is known of most servers. */
  readonly isCutOff: () => boolean;
  readonly countCut: () => number;
}

/** Options of {@link createServerPaths}. @public */
export interface ServerPathsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Opens a connection to a server through another host; rejects when no host reaches it. */
  readonly openTunnel: (address: string) => Promise<ServerSocket>;
  /** Opens a direct connection; rejects after the timeout in milliseconds. */
  readonly connect: (address: string, timeoutMs: number) => Promise<Socket>;
  /** Returns the addresses of the listed servers. */
  readonly listAddresses: () => readonly string[];
  /** Whether a server may get connections that only check a path; by default each may. */
  readonly mayCheck?: (address: string) => boolean;
  /** Replaces the open connections to a server, which may be dead. */
  readonly renewConnections: (address: string) => void;
  /** Called when this host has lost its paths to most servers, or has them again. */
  readonly onChange: () => void;
}

/**
 * Creates the decisions, with direct paths to all servers.
 *
 * @param options - see {@link ServerPathsOptions}
 * @returns the decisions
 * @public
 */
export function createServerPaths(options: ServerPathsOptions): ServerPaths {
  const { clock, random, logger } = options;
  /** Servers without a direct path, with the time from which it is checked again. */
  const cut = new Map<string, number>();
  /** Servers that no host reached, with the time from which other hosts are asked again. */
  const goneUntil = new Map<string, number>();
  let wasCutOff = false;
  const monitor = createSilenceMonitor({ clock, checkPaths });

  function isCutOff(): boolean {
    const listed = options.listAddresses();
    return cut.size > 0 && listed.filter((address) => cut.has(address)).length * 2 > listed.length;
  }

  function reportChange(): void {
    const listed = new Set(options.listAddresses());
    for (const address of cut.keys()) if (!listed.has(address)) cut.delete(address);
    if (isCutOff() === wasCutOff) return;
    wasCutOff = !wasCutOff;
    options.onChange();
  }

  function recordCut(address: string, reason: string): void {
    const isNew = !cut.has(address);
    cut.set(address, clock.now() + RECHECK_MS * (1 + random.nextFraction() / 2));
    if (!isNew) return;
    logger.warn('no direct path to a backend server; connecting through other hosts', {
      address,
      reason,
      cutServers: cut.size,
    });
    reportChange();
  }

  function recordDirect(address: string): void {
    if (!cut.delete(address)) return;
    logger.info('a backend server is reachable directly again', {
      address,
      cutServers: cut.size,
    });
    reportChange();
  }

  /** Watches a direct connection for signs of life of any server. */
  function watch(socket: Socket): Socket {
    socket.on('readable', monitor.recordReceived);
    return socket;
  }

  async function openTunnel(address: string): Promise<ServerSocket> {
    if (clock.now() < (goneUntil.get(address) ?? 0)) throw new Error('no host reaches the server');
    try {
      const socket = await options.openTunnel(address);
      goneUntil.delete(address);
      return socket;
    } catch (error) {
      for (const [gone, until] of goneUntil) if (clock.now() >= until) goneUntil.delete(gone);
      goneUntil.set(address, clock.now() + GONE_MS);
      throw error;
    }
  }

  /** Connects directly, and through another host if that fails or takes long; the first wins. */
  function race(
    address: string,
    connectDirectly: () => Promise<Socket>,
    headStartMs: number,
  ): Promise<ServerSocket> {
    return new Promise((resolve, reject) => {
      let isDone = false;
      let hasTunnelStarted = false;
      let directError: unknown;
      let failures = 0;
      const finish = (socket: ServerSocket) => {
        if (isDone) {
          socket.destroy();
          return;
        }
        isDone = true;
        cancelTimer();
        resolve(socket);
      };
      const fail = () => {
        failures += 1;
        if (failures < 2 || isDone) return;
        isDone = true;
        // What callers and logs need is why the server itself did not respond.
        reject(directError instanceof Error ? directError : new Error(describeError(directError)));
      };
      const startTunnel = () => {
        if (hasTunnelStarted || isDone) return;
        hasTunnelStarted = true;
        openTunnel(address).then((socket) => {
          if (!isDone) {
            const isSilent = directError === undefined;
            recordCut(address, isSilent ? 'no response' : describeError(directError));
            if (isSilent) options.renewConnections(address);
          }
          finish(socket);
        }, fail);
      };
      const cancelTimer = clock.schedule(headStartMs, startTunnel);
      connectDirectly().then(
        (socket) => {
          recordDirect(address);
          finish(watch(socket));
        },
        (error: unknown) => {
          directError = error;
          fail();
          startTunnel();
        },
      );
    });
  }

  async function canConnect(address: string): Promise<boolean> {
    try {
      const socket = await options.connect(address, CHECK_TIMEOUT_MS);
      socket.destroy();
      return true;
    } catch {
      // The result of the check; what follows from it is logged.
      return false;
    }
  }

  /**
   * Checks whether silent servers can be reached, after nothing was received from any server for
   * some time. Returns whether they can, or whether nobody reaches them either.
   */
  async function checkPaths(silent: readonly string[]): Promise<boolean> {
    const addresses = silent
      .filter((address) => !cut.has(address) && options.mayCheck?.(address) !== false)
      .slice(0, MAX_CHECKED_SERVERS);
    const [first, ...others] = addresses;
    // Mostly all is well, so one connection has to do.
    if (first === undefined || (await canConnect(first))) return true;
    const reached = await Promise.all(others.map(canConnect));
    if (reached.includes(true)) return true;
    const tunnels = addresses.map(async (address) => (await openTunnel(address)).destroy());
    const isReachedByOthers = await Promise.any(tunnels).then(
      () => true,
      () => false,
    );
    logger.warn('backend servers do not respond', { addresses, isReachedByOthers });
    if (!isReachedByOthers) return true;
    for (const address of options.listAddresses()) {
      recordCut(address, 'no response from any server');
      options.renewConnections(address);
    }
    return false;
  }

  return {
    openSocket(address, connectDirectly) {
      const recheckAt = cut.get(address);
      if (recheckAt === undefined) {
        const headStartMs = cut.size > 0 ? SHORT_HEAD_START_MS : DIRECT_HEAD_START_MS;
        return race(address, connectDirectly, headStartMs);
      }
      if (clock.now() >= recheckAt) {
        recordCut(address, 'checked again');
        return race(address, connectDirectly, 0);
      }
      return openTunnel(address).catch(() => connectDirectly().then(watch));
    },
    startCall: (address) => monitor.startCall(address),
    isCut: (address) => cut.has(address),
    isCutOff,
    countCut: () => cut.size,
  };
}
