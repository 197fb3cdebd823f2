import type { WarmUpShares } from '@endiveferry/admission';
import { backendServerIdSchema, type BackendServerId, type Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { z } from 'zod';

import type { ListedServer, RelayPool } from '../RelayConfiguration.js';

/** Smallest extension by another host's report that is news, in milliseconds. */
const MIN_NEWS_MS = 1_000;
/** Longest time in a report, in milliseconds. */
const MAX_REPORTED_MS = 3_600_000;
/** Number of servers in one report. */
const MAX_REPORTED = 64;
/** Number of servers that are not listed any more whose start is remembered. */
const MAX_REMEMBERED = 1_024;

/** Schema of {@link WarmUpReport}. @internal */
export const warmUpReportSchema = z.object({
  serverId: backendServerIdSchema,
  /** Time for which the server stays cold, in milliseconds. */
  leftMs: z.number().min(0),
});

/** What a host reports to others of a server whose response said that it is cold. @public */
export type WarmUpReport = z.infer<typeof warmUpReportSchema>;

/**
 * Tracks which backend servers are cold: they have just started, and can handle only the rate that
 * their pool names.
 *
 * @public
 */
export interface WarmUps {
  /** Records an entry of the list of servers as it was received. */
  recordEntry(server: ListedServer): void;
  /**
   * Records a response.
   *
   * @param server - the server
   * @param leftMs - the time for which it says that it stays cold; undefined when it says nothing
   */
  recordAnswer(server: ListedServer, leftMs: number | undefined): void;
  /** Records that a server could not be reached by any host, so that it may have restarted. */
  recordUnreachable(server: ListedServer): void;
  readonly isCold: (serverId: BackendServerId) => boolean;
  /** Whether this host may choose a server now; true for servers that are not cold. */
  readonly maySend: (serverId: BackendServerId) => boolean;
  /** Whether this host has a share of a cold server; true for servers that are not cold. */
  readonly hasShare: (serverId: BackendServerId) => boolean;
  /** Records that a server was chosen for a request. */
  recordSent(serverId: BackendServerId): void;
  /** Takes a request from the share immediately before its write; returns whether it may be sent. */
  readonly tryWrite: (serverId: BackendServerId) => boolean;
  readonly count: () => number;
  /** Applies the list of servers. */
  update(servers: readonly ListedServer[]): void;
  applyReports(reports: readonly WarmUpReport[], source: string): void;
  readonly listReports: () => WarmUpReport[];
}

/** Options of {@link createWarmUps}. @public */
export interface WarmUpsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly shares: WarmUpShares;
  readonly findPool: (poolId: ListedServer['poolId']) => RelayPool | undefined;
  /** Whether only the preferred dispatcher of a pool sends to its servers. */
  readonly isDispatched: (poolId: ListedServer['poolId']) => boolean;
  /** Whether connections may have failed because this process was delayed; by default not. */
  readonly wasDelayed?: () => boolean;
  /** Called when other hosts should hear of a change without delay. */
  readonly onChange: () => void;
}

interface TrackedServer {
  server: ListedServer;
  /** Time until which the store or the server said that it is cold, and when that was said. */
  statedUntil: number;
  statedAt: number;
  /** Time from which it counts as cold without their word. */
  assumedAt: number;
  /** The same as `statedUntil` as far as responses said so. */
  answeredUntil: number;
  isUnreachable: boolean;
  wasCold: boolean;
  hasLoggedInvalid: boolean;
}

/**
 * Creates the tracker, without any server. Of several statements, the one that keeps a server cold
 * longest applies.
 *
 * @param options - see {@link WarmUpsOptions}
 * @returns the tracker
 * @public
 */
export function createWarmUps(options: WarmUpsOptions): WarmUps {
  const { clock, logger, shares } = options;
  const tracked = new Map<BackendServerId, TrackedServer>();

  function findOrAdd(server: ListedServer): TrackedServer {
    const known = tracked.get(server.serverId);
    if (known !== undefined) return known;
    const added: TrackedServer = {
      server,
      statedUntil: -Infinity,
      statedAt: -Infinity,
      assumedAt: -Infinity,
      answeredUntil: -Infinity,
      isUnreachable: false,
      wasCold: false,
      hasLoggedInvalid: false,
    };
    tracked.set(server.serverId, added);
    return added;
  }

  const findWarmUp = ({ server }: TrackedServer) => options.findPool(server.poolId)?.warmUp;

  /** The pool may become known after the server, so its time is applied when it is needed. */
  function findColdUntil(known: TrackedServer): number {
    const durationMs = findWarmUp(known)?.durationMs ?? 0;
    const statedUntil = Math.min(known.statedUntil, known.statedAt + durationMs);
    return Math.max(statedUntil, known.assumedAt + durationMs);
  }

  /** Logs a server that turns cold or warm. */
  function logChange(known: TrackedServer, source: string): void {
    const leftMs = Math.round(findColdUntil(known) - clock.now());
    const isCold = leftMs > 0 && findWarmUp(known) !== undefined;
    if (isCold === known.wasCold) return;
    known.wasCold = isCold;
    const { serverId, poolId } = known.server;
    logger.info(isCold ? 'backend server is cold' : 'backend server is warm', {
      backendServer: serverId,
      pool: poolId,
      source,
      ...(isCold ? { leftMs, perSecond: findWarmUp(known)?.perSecond } : {}),
    });
  }

  /** Returns a stated time; one that is longer than a warm-up takes is invalid. */
  function limitToWarmUp(known: TrackedServer, leftMs: number, source: string): number {
    const longestMs = findWarmUp(known)?.durationMs ?? Infinity;
    if (leftMs <= longestMs) {
      known.hasLoggedInvalid = false;
      return leftMs;
    }
    if (!known.hasLoggedInvalid)
      logger.warn('a backend server states an invalid warm-up time; the longest one applies', {
        backendServer: known.server.serverId,
        source,
        longestMs,
      });
    known.hasLoggedInvalid = true;
    return longestMs;
  }

  function setStated(known: TrackedServer, until: number): void {
    if (until <= known.statedUntil) return;
    known.statedUntil = until;
    known.statedAt = clock.now();
  }

  function recordStated(known: TrackedServer, statedMs: number, source: string): number {
    const until = clock.now() + limitToWarmUp(known, statedMs, source);
    // The store or the server itself has spoken.
    known.assumedAt = -Infinity;
    known.isUnreachable = false;
    setStated(known, until);
    logChange(known, source);
    return until;
  }

  function recordAssumed(known: TrackedServer, reason: string): void {
    known.assumedAt = clock.now();
    logChange(known, reason);
  }

  /** Returns a server with its rate while it is cold. */
  function findCold(serverId: BackendServerId) {
    const known = tracked.get(serverId);
    if (known === undefined || clock.now() >= findColdUntil(known)) {
      if (known?.wasCold === true) logChange(known, 'the end of its time');
      return undefined;
    }
    const perSecond = findWarmUp(known)?.perSecond;
    const { poolId } = known.server;
    const senderKey = options.isDispatched(poolId) ? poolId : undefined;
    return perSecond === undefined ? undefined : { serverId, perSecond, senderKey };
  }

  function ifCold(
    check: (cold: NonNullable<ReturnType<typeof findCold>>) => boolean,
  ): (serverId: BackendServerId) => boolean {
    return (serverId) => {
      const cold = findCold(serverId);
      return cold === undefined || check(cold);
    };
  }

  return {
    recordEntry(server) {
      const { startedAt, warmUpLeftMs } = server;
      const isKnown = tracked.has(server.serverId);
      const known = findOrAdd(server);
      const hasRestarted =
        isKnown && startedAt !== undefined && (known.server.startedAt ?? startedAt) !== startedAt;
      known.server = server;
      if (hasRestarted) recordAssumed(known, 'its restart');
      if (warmUpLeftMs !== undefined) recordStated(known, warmUpLeftMs, 'its entry');
    },
    recordAnswer(server, leftMs) {
      const known = findOrAdd(server);
      if (leftMs !== undefined) {
        const wasCold = known.wasCold;
        known.answeredUntil = Math.max(
          known.answeredUntil,
          recordStated(known, leftMs, 'its response'),
        );
        if (!wasCold && known.wasCold) options.onChange();
      } else if (known.isUnreachable) {
        known.isUnreachable = false;
        recordAssumed(known, 'a response after it was unreachable');
      }
    },
    recordUnreachable(server) {
      // Otherwise a delay of a small host would make all its servers cold.
      if (options.wasDelayed?.() === true) return;
      const known = findOrAdd(server);
      known.isUnreachable = true;
      recordAssumed(known, 'a failed connection');
    },
    isCold: (serverId) => findCold(serverId) !== undefined,
    maySend: ifCold((cold) => shares.maySend(cold)),
    hasShare: ifCold((cold) => shares.hasShare(cold)),
    recordSent(serverId) {
      if (findCold(serverId) !== undefined) shares.reserve(serverId);
    },
    tryWrite: ifCold((cold) => shares.tryWrite(cold)),
    count: () => [...tracked.keys()].filter((serverId) => findCold(serverId) !== undefined).length,
    update(servers) {
      shares.update(new Set(servers.map(({ serverId }) => serverId)));
      // The starts of servers that are not listed are kept, to notice that one has started again.
      for (const serverId of tracked.keys()) {
        if (tracked.size <= MAX_REMEMBERED) return;
        if (!servers.some((server) => server.serverId === serverId)) tracked.delete(serverId);
      }
    },
    applyReports(reports, source) {
      for (const { serverId, leftMs } of reports) {
        const known = tracked.get(serverId);
        if (known === undefined) continue;
        const until = clock.now() + limitToWarmUp(known, leftMs, source);
        if (until <= findColdUntil(known) + MIN_NEWS_MS) continue;
        known.answeredUntil = until;
        setStated(known, until);
        logChange(known, source);
        options.onChange();
      }
    },
    listReports: () =>
      [...tracked.values()]
        .filter(({ answeredUntil }) => answeredUntil > clock.now())
        .slice(0, MAX_REPORTED)
        .map(({ server: { serverId }, answeredUntil }) => ({
          serverId,
          leftMs: Math.round(Math.min(answeredUntil - clock.now(), MAX_REPORTED_MS)),
        })),
  };
}
