import {
  computeRendezvousOrder,
  type BackendServerId,
  type Clock,
  type HostId,
  type PoolId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import { isSameProcess } from './isSameProcess.js';
import {
  createRampLevel,
  reductions,
  type RampLevel,
  type RampReason,
  type RampResult,
} from './createRampLevel.js';
import type { RampReport } from './RampReport.js';
import type { ListedServer } from '../RelayConfiguration.js';

/** Largest share of a pool's servers that may ramp by results, and that ramps may exclude. */
const MAX_EXCLUDED_SHARE = 0.5;
/** Time for which a server that is not listed any more is remembered, in milliseconds. */
const MEMORY_MS = 60_000;
/**
 * Failures in a row that begin a ramp. In a fleet with more hosts than a server has slots, one does,
 * because most hosts have one call there at most when it crashes.
 */
const FAILURES_TO_RAMP = 2;
/** Number of servers in one report. */
const MAX_REPORTED = 32;
/** Time for which the end of a ramp is reported, in milliseconds. */
const END_REPORT_MS = 10_000;

/**
 * Servers that have started or recovered and get only a share of their normal work for a time.
 *
 * @public
 */
export interface ServerRamps {
  /**
   * Returns the number of calls that this host may run at a server at the same time; for the replica
   * of a stage, the pieces of one call. Infinity for a server that is not ramping.
   */
  readonly findAllowance: (serverId: BackendServerId) => number;
  /** Returns the share of its normal work that a server may get; 1 when it is not ramping. */
  readonly findShare: (serverId: BackendServerId) => number;
  /** Whether a server is ramping, and its level has grown since it failed. */
  readonly isRecovering: (serverId: BackendServerId) => boolean;
  /** Whether ramps may exclude servers of a pool: at most half of its servers are ramping. */
  readonly isBinding: (poolId: PoolId) => boolean;
  /** Records the result of a call. */
  record(serverId: BackendServerId, result: RampResult): void;
  /** Records that a server wants no requests of this host for a time, in milliseconds. */
  recordBackoff(serverId: BackendServerId, backoffMs: number): void;
  /** Applies a list of servers. */
  update(servers: readonly ListedServer[]): void;
  /** Returns the number of servers that are ramping. */
  readonly count: () => number;
  applyReports(reports: readonly RampReport[], source: string): void;
  readonly listReports: () => RampReport[];
}

/** What the choice of a server reads of the ramps, and its results. @public */
export type ServerRampChecks = Pick<
  ServerRamps,
  'findAllowance' | 'findShare' | 'isRecovering' | 'isBinding' | 'record'
>;

/** Options of {@link createServerRamps}. @public */
export interface ServerRampsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hostId: HostId;
  /** Lists the hosts that may send requests to a server. */
  readonly listHosts: (serverId: BackendServerId) => readonly HostId[];
  /** Returns the normal number of concurrent calls, or of pieces of a stage, at a server. */
  readonly countUnits: (server: ListedServer) => number;
  /** Called when other hosts should hear of a reduction without delay. */
  readonly onReduced: () => void;
}

interface KnownServer {
  server: ListedServer;
  /** Time at which it was listed last; undefined while it is. */
  unlistedAt: number | undefined;
  readonly level: RampLevel;
  /** This host's position among the hosts that may send, as last computed. */
  order: { readonly hosts: readonly HostId[]; readonly position: number } | undefined;
}

/**
 * Creates the ramps of a host that has just started. See `docs/design/server-ramps.md`.
 *
 * @param options - see {@link ServerRampsOptions}
 * @returns the ramps, none of them active
 * @public
 */
export function createServerRamps(options: ServerRampsOptions): ServerRamps {
  const { clock, logger, hostId } = options;
  const servers = new Map<BackendServerId, KnownServer>();
  const poolsWithTraffic = new Set<PoolId>();
  let hasList = false;

  const listHosts = (serverId: BackendServerId) => {
    const hosts = options.listHosts(serverId);
    return hosts.length > 0 ? hosts : [hostId];
  };

  /** Level at which a ramp ends: every host may send, and all slots may be used. */
  const computeFullLevel = (server: ListedServer) =>
    Math.max(1, options.countUnits(server), listHosts(server.serverId).length);

  function addServer(server: ListedServer): KnownServer {
    const level = createRampLevel(
      clock,
      () => computeFullLevel(server),
      (change) =>
        logger.info('ramp of a backend server changed', {
          backendServer: server.serverId,
          pool: server.poolId,
          startedAt: server.startedAt,
          ...change,
        }),
    );
    const known: KnownServer = { server, unlistedAt: undefined, level, order: undefined };
    servers.set(server.serverId, known);
    return known;
  }

  /** Whether a condition holds for at most half of a pool's servers, with `added` more. */
  function isMinority(poolId: PoolId, isMet: (level: RampLevel) => boolean, added = 0): boolean {
    const pool = [...servers.values()].filter(
      ({ server, unlistedAt }) =>
        server.poolId === poolId && unlistedAt === undefined && !server.isLeaving,
    );
    const count = pool.filter(({ level }) => isMet(level)).length;
    return count + added <= pool.length * MAX_EXCLUDED_SHARE;
  }

  const isRamping = (level: RampLevel) => level.isRamping();

  function reduce({ server, level }: KnownServer, reason: RampReason, holdMs = 0): void {
    if (!level.isRamping() && !isMinority(server.poolId, isRamping, 1)) return;
    level.reduce(reason, holdMs);
    options.onReduced();
  }

  /** Finds this host's position; kept until the hosts change, because there may be hundreds. */
  function findOrder(known: KnownServer, serverId: BackendServerId) {
    const hosts = listHosts(serverId);
    if (known.order?.hosts !== hosts)
      known.order = { hosts, position: computeRendezvousOrder(serverId, hosts).indexOf(hostId) };
    return known.order;
  }

  function findAllowance(serverId: BackendServerId): number {
    const known = servers.get(serverId);
    if (known?.level.isRamping() !== true) return Infinity;
    if (known.level.isHeld()) return 0;
    const total = Math.max(1, Math.floor(known.level.value()));
    const { hosts, position } = findOrder(known, serverId);
    const isOneOfFirst = position >= 0 && position < total % hosts.length;
    return Math.floor(total / hosts.length) + (isOneOfFirst ? 1 : 0);
  }

  const handlers: Record<RampResult['kind'], (known: KnownServer, result: RampResult) => void> = {
    answer(known, result) {
      if (result.kind !== 'answer') return;
      known.level.recordAnswer(result);
      if (known.level.isSlow()) reduce(known, 'slow');
    },
    rejection({ level }) {
      if (level.isRamping()) level.reduce('rejection');
    },
    failure(known) {
      const failures = known.level.countFailure();
      const { server } = known;
      const isLarge = listHosts(server.serverId).length > options.countUnits(server);
      if (known.level.isRamping() || isLarge || failures >= FAILURES_TO_RAMP)
        reduce(known, 'failure', reductions.computeHoldMs(failures));
    },
  };

  function applyReport(report: RampReport, source: string): void {
    const known = servers.get(report.serverId);
    if (known === undefined) return;
    const { address, startedAt } = known.server;
    if (address !== report.address || startedAt !== report.startedAt) return;
    known.level.applyReport(report, source);
  }

  return {
    findAllowance,
    findShare(serverId) {
      const known = servers.get(serverId);
      if (known?.level.isRamping() !== true) return 1;
      return known.level.value() / computeFullLevel(known.server);
    },
    isBinding: (poolId) => isMinority(poolId, isRamping),
    isRecovering: (serverId) => servers.get(serverId)?.level.hasGrown() === true,
    record(serverId, result) {
      const known = servers.get(serverId);
      if (known === undefined) return;
      poolsWithTraffic.add(known.server.poolId);
      // The result of a call that was sent before the last reduction says nothing of its effect.
      if (result.sentAt < known.level.reducedAt()) return;
      handlers[result.kind](known, result);
    },
    recordBackoff(serverId, backoffMs) {
      const known = servers.get(serverId);
      // Several requests may be rejected with the same backoff.
      if (known === undefined || known.level.isHeld()) return;
      reduce(known, 'backoff', Math.min(MEMORY_MS, backoffMs));
    },
    update(listed) {
      const now = clock.now();
      const ids = new Set(listed.map(({ serverId }) => serverId));
      for (const [serverId, known] of servers) {
        if (!ids.has(serverId)) known.unlistedAt ??= now;
        if (now - (known.unlistedAt ?? now) > MEMORY_MS) servers.delete(serverId);
      }
      for (const server of listed) {
        const known = servers.get(server.serverId);
        if (known !== undefined && isSameProcess(server, known.server)) {
          Object.assign(known, { server, unlistedAt: undefined });
          continue;
        }
        const added = addServer(server);
        if (hasList && poolsWithTraffic.has(server.poolId)) added.level.reduce('start');
      }
      hasList ||= listed.length > 0;
    },
    count: () => [...servers.values()].filter(({ level }) => level.isRamping()).length,
    applyReports(reports, source) {
      for (const report of reports.slice(0, MAX_REPORTED)) applyReport(report, source);
    },
    listReports: () =>
      [...servers.values()]
        .filter(({ level }) =>
          level.isRamping() ? !level.isLocal() : level.endAgeMs() < END_REPORT_MS,
        )
        .slice(-MAX_REPORTED)
        .map(({ server: { serverId, address, startedAt }, level }) => ({
          serverId,
          address,
          ...(startedAt === undefined ? {} : { startedAt }),
          ...level.buildReport(),
        })),
  };
}

/** Ramps of which none is active, for hosts without them. @public */
export const noRamps: ServerRamps = {
  findAllowance: () => Infinity,
  findShare: () => 1,
  isRecovering: () => false,
  isBinding: () => true,
  record: () => undefined,
  recordBackoff: () => undefined,
  update: () => undefined,
  count: () => 0,
  applyReports: () => undefined,
  listReports: () => [],
};
