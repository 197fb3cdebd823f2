import type { BackendServerId, Clock, PoolId, Random } from '@endiveferry/base';
import {
  createServerConnections,
  createServerHealth,
  type ServerConnections,
  type ServerHealth,
} from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';

import type { ReportedLoad } from './ports.js';
import type { ListedServer, RelayPool } from './RelayConfiguration.js';

/** Part of a server's connections that all hosts together plan to use; probes and errors need some. */
const CONNECTION_SHARE = 0.85;
/** Weight of the newest call in the share of calls that failed. */
const FAILURE_WEIGHT = 0.15;
/** Half-life of what is remembered of failures while no calls are sent, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4_000;
/** The largest part of a pool that may be ejected at a time. */
const MAX_EJECTED_SHARE = 0.5;
/**
 * Time to read one prompt token before any was measured, in milliseconds; engines read 50 to 120 in one.
 *
 * @internal
 */
export const FIRST_TOKEN_MS = 0.015;
/** Bounds of what a measurement may say, in milliseconds: a queue is not a reading speed. */
const MIN_TOKEN_MS = 0.004;
const MAX_TOKEN_MS = 0.1;
/** Prompts shorter than this, in tokens, tell little of the reading speed. */
const MEASURED_TOKENS = 1_500;
/** Weight of the newest prompt in the reading time. */
const TOKEN_WEIGHT = 0.15;
/** A reported load older than this, in milliseconds, says nothing. */
const REPORT_VALID_MS = 1_500;

/** One backend server as this host sees it. @public */
export interface Backend {
  readonly server: ListedServer;
  readonly connections: ServerConnections;
  /** Calls of this host that run there. */
  readonly running: () => number;
  /** Calls of this host that may run there at a time, given what others need. */
  readonly maxRunning: () => number;
  /** Share of recent calls that failed, from 0 to 1. */
  readonly failureShare: () => number;
  /** The load of its last answer; undefined when that is too old. */
  readonly reportedLoad: () => ReportedLoad | undefined;
  /** Prompt tokens of this host's calls that the server has not read yet. */
  readonly pendingTokens: () => number;
  /** Time that the server takes to read one prompt token, in milliseconds. */
  readonly tokenMs: () => number;
  /** Notes a call whose prompt has `promptTokens` to be read; 0 for other calls. */
  startCall(promptTokens: number): RunningCall;
  recordLoad(load: ReportedLoad): void;
  recordSuccess(): void;
  /** The server answered that it failed, which requests of some kinds often do. */
  recordErrorResponse(): void;
  /** The server gave no answer. */
  recordFailure(): void;
}

/** A call that runs at a backend server. @public */
export interface RunningCall {
  /** The prompt was read: the first event came; further calls change nothing. */
  recordFirstEvent(): void;
  end(): void;
}

/** The backend servers of all pools. @public */
export interface Backends {
  /** Takes over the list; what is known of servers that stay is kept. */
  update(servers: readonly ListedServer[], pools: ReadonlyMap<PoolId, RelayPool>): void;
  find(serverId: BackendServerId): Backend | undefined;
  listPool(poolId: PoolId): readonly Backend[];
  /** Prompt tokens that servers have not read yet, for servers that have any. */
  readonly listPending: () => { readonly serverId: BackendServerId; readonly tokens: number }[];
  /** Replaces all connections, because this process stood still. */
  renewConnections(): void;
  close(): Promise<void>;
}

/** Options of the backend servers. @public */
export interface BackendsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly countHosts: () => number;
}

/**
 * Creates the backend servers of no list.
 *
 * @param options - see {@link BackendsOptions}
 * @returns the backend servers
 * @public
 */
export function createBackends(options: BackendsOptions): Backends {
  const { clock, random, logger } = options;
  const backends = new Map<BackendServerId, Backend & { readonly health: ServerHealth }>();

  const listPool = (poolId: PoolId) =>
    [...backends.values()].filter(({ server }) => server.poolId === poolId);

  function canEject(poolId: PoolId): boolean {
    const states = listPool(poolId);
    const ejected = states.filter(({ health }) => health.state() === 'ejected').length;
    return ejected + 1 <= states.length * MAX_EJECTED_SHARE;
  }

  function createBackend(server: ListedServer, pool: RelayPool | undefined) {
    const planned = (pool?.maxConnections ?? server.slots) * CONNECTION_SHARE;
    // The fleet may be found, and grow, after this server was.
    const findMaxConnections = () =>
      Math.max(1, Math.floor(planned / Math.max(1, options.countHosts())));
    const connections = createServerConnections(server.address, {
      maxConnections: findMaxConnections(),
      ...(pool === undefined ? {} : { probePath: pool.healthPath }),
    });
    const health = createServerHealth(clock, random, (state) =>
      logger.warn('health of a backend server changed', {
        backendServer: server.serverId,
        pool: server.poolId,
        health: state,
        failureShare: failures.share,
      }),
    );
    const failures = { share: 0, at: clock.now() };
    let running = 0;
    let pendingTokens = 0;
    let tokenMs = FIRST_TOKEN_MS;
    let report: { readonly load: ReportedLoad; readonly at: number } | undefined;

    function findFailureShare(): number {
      return failures.share * 0.5 ** ((clock.now() - failures.at) / FAILURE_HALF_LIFE_MS);
    }

    function recordOutcome(hasFailed: boolean): void {
      const share = findFailureShare();
      failures.share = share + FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - share);
      failures.at = clock.now();
    }

    return {
      server,
      connections,
      health,
      running: () => running,
      maxRunning: () => Math.min(findMaxConnections(), health.maxConcurrency()),
      failureShare: findFailureShare,
      reportedLoad: () =>
        report !== undefined && clock.now() - report.at <= REPORT_VALID_MS
          ? report.load
          : undefined,
      pendingTokens: () => pendingTokens,
      tokenMs: () => tokenMs,
      startCall(promptTokens: number) {
        const startedAt = clock.now();
        const ahead = pendingTokens + promptTokens;
        let unread = promptTokens;
        running += 1;
        pendingTokens += promptTokens;
        const takeUnread = () => {
          pendingTokens -= unread;
          unread = 0;
        };
        return {
          recordFirstEvent() {
            if (unread >= MEASURED_TOKENS) {
              const measured = (clock.now() - startedAt) / ahead;
              const bounded = Math.min(MAX_TOKEN_MS, Math.max(MIN_TOKEN_MS, measured));
              tokenMs += TOKEN_WEIGHT * (bounded - tokenMs);
            }
            takeUnread();
          },
          end() {
            running -= 1;
            takeUnread();
          },
        };
      },
      recordLoad(load: ReportedLoad) {
        report = { load, at: clock.now() };
      },
      recordSuccess() {
        recordOutcome(false);
        health.recordSuccess();
      },
      recordErrorResponse: () => recordOutcome(true),
      recordFailure() {
        recordOutcome(true);
        health.recordFailure(canEject(server.poolId));
      },
    };
  }

  return {
    update(servers, pools) {
      const listed = new Map(servers.map((server) => [server.serverId, server]));
      for (const [serverId, backend] of backends) {
        if (listed.get(serverId)?.address === backend.server.address) continue;
        backends.delete(serverId);
        void backend.connections.close();
      }
      for (const [serverId, server] of listed) {
        const known = backends.get(serverId);
        if (known === undefined) {
          backends.set(serverId, createBackend(server, pools.get(server.poolId)));
        } else if (known.server !== server) {
          backends.set(serverId, { ...known, server });
        }
      }
    },
    find: (serverId) => backends.get(serverId),
    listPool,
    listPending: () =>
      [...backends].flatMap(([serverId, backend]) => {
        const tokens = backend.pendingTokens();
        return tokens > 0 ? [{ serverId, tokens }] : [];
      }),
    renewConnections() {
      for (const { connections } of backends.values()) connections.renew();
    },
    async close() {
      await Promise.all([...backends.values()].map(({ connections }) => connections.close()));
    },
  };
}
