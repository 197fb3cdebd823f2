import {
  createMemoryBudget,
  describeError,
  type BackendServerId,
  type Clock,
  type PoolId,
  type Random,
} from '@endiveferry/base';
import {
  createServerConnections,
  createServerHealth,
  type ServerConnections,
  type ServerHealth,
} from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';

import { groupByPool } from './groupByPool.js';
import { createFailureShare } from './createFailureShare.js';
import { createPoolDurations } from './createPoolDurations.js';
import type { ServerPaths } from './createServerPaths.js';
import { createTokenTime } from './createTokenTime.js';
import { createServerSpeed } from './createServerSpeed.js';
import { noRamps, type ServerRampChecks } from './createServerRamps.js';
import { isSameProcess } from './isSameProcess.js';
import type { ReportedLoad } from '../ports.js';
import type { ListedServer, RelayPool } from '../RelayConfiguration.js';

/** Share of a server's connections that all hosts together use; probes and errors need the rest. */
const CONNECTION_SHARE = 0.85;
/** Memory for the responses that this host is receiving, in bytes; hosts have 160 MB or more. */
const MAX_RESPONSES_BYTES = 16_000_000;
/** Largest share of a pool's servers that may be ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5;
/** Age after which a reported load is ignored, in milliseconds. */
const LOAD_REPORT_VALID_MS = 1_500;

/** Local state of one backend server. @public */
export interface Backend {
  readonly server: ListedServer;
  readonly connections: ServerConnections;
  /** Returns the number of this host's running calls. */
  readonly running: () => number;
  /** Returns the share of its normal work that it may get; less than 1 while it is ramping. */
  readonly rampShare: () => number;
  /** Whether its ramp allows this host another call. */
  readonly hasRampRoom: () => boolean;
  /** Whether its ramp may exclude it, as most servers of the pool get their normal work. */
  readonly isRampBinding: () => boolean;
  /** Returns the limit of this host's concurrent calls, given the connections of other hosts. */
  readonly maxRunning: () => number;
  /** Returns the share of recent calls that failed, from 0 to 1. */
  readonly failureShare: () => number;
  /** Returns the load in the last response; undefined when that is too old. */
  readonly reportedLoad: () => ReportedLoad | undefined;
  /** Returns the number of unread prompt tokens of this host's calls. */
  readonly pendingTokens: () => number;
  /** Returns the estimated time to read one prompt token, in milliseconds. */
  readonly tokenMs: () => number;
  /** Returns how much longer than usual a call takes here now; 1 where no server reports it. */
  readonly slowness: () => number;
  /** Returns the expected duration of a plain call, in milliseconds; 0 where it is not known. */
  readonly callMs: () => number;
  /** Registers a call with `promptTokens` prompt tokens to read; 0 for calls without a prompt. */
  startCall(promptTokens: number): RunningCall;
  recordLoad(load: ReportedLoad): void;
  recordSuccess(): void;
  /** Records that a plain call, written at `sentAt`, has been answered. */
  recordDuration(sentAt: number): void;
  /** Records an error response. It does not affect health, because some requests often fail. */
  recordErrorResponse(): void;
  /** Records a rejection of a call that was written at `sentAt`. */
  recordRejection(sentAt: number): void;
  /** Records a call without a usable response; `sentAt` is undefined if it was not written. */
  recordFailure(sentAt?: number): void;
}

/** A call that runs at a backend server. @public */
export interface RunningCall {
  /** Records that the first event arrived, so the prompt was read. Later calls have no effect. */
  recordFirstEvent(): void;
  end(): void;
}

/** The backend servers of all pools. @public */
export interface Backends {
  /** Applies a new list of servers; servers that stay at their address keep their state. */
  update(servers: readonly ListedServer[], pools: ReadonlyMap<PoolId, RelayPool>): void;
  find(serverId: BackendServerId): Backend | undefined;
  listPool(poolId: PoolId): readonly Backend[];
  /** Lists the numbers of unread prompt tokens of this host's calls, for servers with any. */
  readonly listPending: () => { readonly serverId: BackendServerId; readonly tokens: number }[];
  /** Replaces the connections to one address, or all, because they may be dead. */
  renewConnections(address?: string): void;
  close(): Promise<void>;
}

/** A backend server with its health. */
type CheckedBackend = Backend & { readonly health: ServerHealth };

/** Options of the backend servers. @public */
export interface BackendsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly countHosts: () => number;
  readonly paths: Pick<ServerPaths, 'openSocket' | 'startCall'>;
  /** Ramps of the servers; by default none is active. */
  readonly ramps?: ServerRampChecks;
}

/**
 * Creates an empty registry of backend servers.
 *
 * @param options - see {@link BackendsOptions}
 * @returns the registry
 * @public
 */
export function createBackends(options: BackendsOptions): Backends {
  const { clock, random, logger, ramps = noRamps } = options;
  const budget = createMemoryBudget(MAX_RESPONSES_BYTES);
  const backends = new Map<BackendServerId, CheckedBackend>();
  const durations = createPoolDurations();
  /** The same with the time in queues, so that an overloaded pool has no slow servers. */
  const answerTimes = createPoolDurations();
  /** Pools of which a server has reported slowdowns. */
  const reportingPools = new Set<PoolId>();

  let backendsByPool: ReadonlyMap<PoolId, readonly CheckedBackend[]> = new Map();

  const listPool = (poolId: PoolId) => backendsByPool.get(poolId) ?? [];

  function canEject(poolId: PoolId): boolean {
    const states = listPool(poolId);
    const ejected = states.filter(({ health }) => health.state() === 'ejected').length;
    return ejected + 1 <= states.length * MAX_EJECTED_SHARE;
  }

  function createBackend(server: ListedServer, pool: RelayPool | undefined) {
    const planned = (pool?.maxConnections ?? server.slots) * CONNECTION_SHARE;
    // The number of hosts may change after this server was added.
    const computeMaxConnections = () =>
      Math.max(1, Math.floor(planned / Math.max(1, options.countHosts())));
    const connections = createServerConnections(server.address, {
      maxConnections: computeMaxConnections(),
      budget,
      onListenerError: (error, event) =>
        logger.error('a listener failed; closing its connection to a backend server', {
          backendServer: server.serverId,
          event,
          error: describeError(error),
        }),
      openSocket: (connectDirectly) => options.paths.openSocket(server.address, connectDirectly),
      ...(pool === undefined ? {} : { probePath: pool.healthPath }),
    });
    const health = createServerHealth(clock, random, (state) =>
      logger.warn('health of a backend server changed', {
        backendServer: server.serverId,
        pool: server.poolId,
        health: state,
        failureShare: failures.current(),
      }),
    );
    const failures = createFailureShare(clock);
    const speed = createServerSpeed(clock);
    let running = 0;
    let pendingTokens = 0;
    const tokenTime = createTokenTime(clock, speed);
    let report: { readonly load: ReportedLoad; readonly at: number } | undefined;

    const isSpeedKnown = () => reportingPools.has(server.poolId);

    /** Records an answer and the time that it took, in milliseconds or per prompt token. */
    function recordAnswer(sentAt: number, answerTime: number | undefined): void {
      const usual = answerTimes.find(server.poolId) ?? 0;
      const slowness =
        answerTime === undefined || usual === 0
          ? undefined
          : answerTime / usual / speed.ownSlowness();
      if (answerTime !== undefined) answerTimes.record(server.poolId, answerTime);
      const hasQueue = (report?.load.waiting ?? 0) > 0;
      ramps.record(server.serverId, { kind: 'answer', sentAt, slowness, hasQueue });
    }

    return {
      server,
      connections,
      health,
      running: () => running,
      maxRunning() {
        // Other hosts may have found that the server recovered before this host tries it again.
        const isRecovering = ramps.isRecovering(server.serverId);
        return Math.min(computeMaxConnections(), isRecovering ? Infinity : health.maxConcurrency());
      },
      failureShare() {
        // Failures from before a recovery would keep the server idle.
        if (ramps.isRecovering(server.serverId)) failures.reset();
        return failures.current();
      },
      reportedLoad: () =>
        report !== undefined && clock.now() - report.at <= LOAD_REPORT_VALID_MS
          ? report.load
          : undefined,
      pendingTokens: () => pendingTokens,
      tokenMs: tokenTime.current,
      slowness: () => (isSpeedKnown() ? speed.slowness() : 1),
      callMs: () => (isSpeedKnown() ? (durations.find(server.poolId) ?? 0) * speed.slowness() : 0),
      rampShare: () => ramps.findShare(server.serverId),
      isRampBinding: () => ramps.isBinding(server.poolId),
      hasRampRoom: () => running < ramps.findAllowance(server.serverId),
      startCall(promptTokens: number) {
        const startedAt = clock.now();
        const ahead = pendingTokens + promptTokens;
        let unread = promptTokens;
        const endWait = options.paths.startCall(server.address);
        running += 1;
        pendingTokens += promptTokens;
        const releaseUnread = () => {
          pendingTokens -= unread;
          unread = 0;
        };
        return {
          recordFirstEvent() {
            const readMs = tokenTime.recordRead(unread, ahead, startedAt);
            recordAnswer(startedAt, readMs);
            releaseUnread();
          },
          end() {
            running -= 1;
            endWait();
            releaseUnread();
          },
        };
      },
      recordLoad(load: ReportedLoad) {
        report = { load, at: clock.now() };
        speed.recordSlowdown(load.slowdown);
        if (speed.isReporting()) reportingPools.add(server.poolId);
      },
      recordSuccess() {
        failures.record(false);
        health.recordSuccess();
      },
      recordDuration(sentAt: number) {
        const durationMs = clock.now() - sentAt;
        const usualMs = durations.find(server.poolId) ?? durationMs;
        const ratio = usualMs > 0 ? durationMs / usualMs : 1;
        recordAnswer(sentAt, durationMs);
        // The duration of a call that may have waited says little of the speed.
        if ((report?.load.waiting ?? 0) > 0) return;
        durations.record(server.poolId, durationMs);
        speed.recordCall(ratio, sentAt);
      },
      recordErrorResponse: () => failures.record(true),
      recordRejection: (sentAt: number) =>
        ramps.record(server.serverId, { kind: 'rejection', sentAt }),
      recordFailure(sentAt = clock.now()) {
        failures.record(true);
        ramps.record(server.serverId, { kind: 'failure', sentAt });
        health.recordFailure(canEject(server.poolId));
      },
    };
  }

  return {
    update(servers, pools) {
      const listed = new Map(servers.map((server) => [server.serverId, server]));
      for (const [serverId, backend] of backends) {
        if (isSameProcess(listed.get(serverId), backend.server)) continue;
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
      backendsByPool = groupByPool([...backends.values()]);
    },
    find: (serverId) => backends.get(serverId),
    listPool,
    listPending: () =>
      [...backends].flatMap(([serverId, backend]) => {
        const tokens = backend.pendingTokens();
        return tokens > 0 ? [{ serverId, tokens }] : [];
      }),
    renewConnections(address) {
      for (const { server, connections } of backends.values())
        if (address === undefined || address === server.address) connections.renew();
    },
    async close() {
      await Promise.all([...backends.values()].map(({ connections }) => connections.close()));
    },
  };
}
