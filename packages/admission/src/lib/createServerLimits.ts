import {
  computeRendezvousOrder,
  type BackendServerId,
  type Clock,
  type HostId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import {
  createRequestedBackoffs,
  type RequestedBackoffs,
  type RequestedBackoffsOptions,
} from './createRequestedBackoffs.js';
import type { LimitReport } from './LimitReport.js';

/** Lowest rate at which a limited server is asked, per second, to hear when its limit ends. */
const MIN_RATE_PER_SECOND = 0.5;
/** Hosts that may send to a limited server, in addition to one per request a second. */
const EXTRA_SENDERS = 2;
/** Time for which a sender may save its share, in seconds; at least one request. */
const BURST_S = 0.5;
/** A sender prefers a limited server that has not answered it for this long, in milliseconds. */
const REFRESH_MS = 2_000;
/**
 * An answer without a limit that arrives this soon after one with it was sent before it, in
 * milliseconds.
 */
const REORDER_MS = 300;
/** Smallest difference between two answers that makes the later one news, in milliseconds. */
const MIN_NEWS_MS = 200;
/** Time for which the end of a limit is reported, in milliseconds. */
const END_REPORT_MS = 10_000;
/** Number of servers in one report. */
const MAX_REPORTED = 64;
const MS_PER_SECOND = 1_000;

/**
 * The limits that backend servers in need have named, and this host's shares of them.
 *
 * @public
 */
export interface ServerLimits {
  /**
   * Records what an answer of a server says of its limit.
   *
   * @param serverId - the server
   * @param perSecond - the requests a second that it takes from all hosts together; undefined when
   *   the answer names no limit
   */
  recordAnswer(serverId: BackendServerId, perSecond: number | undefined): void;
  /** Whether the server has named a limit, or a backoff that has not ended. */
  readonly isLimited: (serverId: BackendServerId) => boolean;
  /** Whether this host may send the server a request now. */
  readonly maySend: (serverId: BackendServerId) => boolean;
  /** Records that this host sends the server a request. */
  recordSent(serverId: BackendServerId): void;
  /** Whether this host should send the next request to the server, to hear whether its limit ended. */
  readonly isRefreshDue: (serverId: BackendServerId) => boolean;
  readonly countLimited: () => number;
  /** Backoffs that servers have requested from this host; it sends them nothing until these end. */
  readonly backoffs: RequestedBackoffs;
  /** Forgets the servers that are not listed. */
  update(serverIds: ReadonlySet<BackendServerId>): void;
  /** Applies what another host reports. */
  applyReports(reports: readonly LimitReport[], source: string): void;
  /** Returns what to report to other hosts. */
  readonly listReports: () => LimitReport[];
}

/** Options of {@link createServerLimits}. @public */
export interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly hostId: HostId;
  /**
   * Lists the hosts that may send requests to a server, this one among them if it may. All hosts
   * list the same ones, apart from recent changes.
   */
  readonly listHosts: (serverId: BackendServerId) => readonly HostId[];
  /** Whether connections to a server are shared with other hosts; by default none are. */
  readonly isShared?: RequestedBackoffsOptions['isShared'];
  /** Called when other hosts should hear of a change without delay. */
  readonly onChange: () => void;
}

interface NamedLimit {
  /** Undefined after the limit ended. */
  perSecond: number | undefined;
  /** Time of the answer that said so. */
  at: number;
  /** Requests that this host may send at `refilledAt`. */
  tokens: number;
  refilledAt: number;
  isSender: boolean;
  lastSentAt: number;
}

/**
 * Creates the limits, none of them named. Meant for fleets in which a share per host would be less
 * than one request in many seconds: a server with a low limit is left to a few hosts, which all
 * hosts choose alike, and the others do not use it.
 *
 * @param options - see {@link ServerLimitsOptions}
 * @returns the limits
 * @public
 */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, logger, hostId } = options;
  const limits = new Map<BackendServerId, NamedLimit>();
  const backoffs = createRequestedBackoffs({ isShared: () => false, ...options });

  /** Returns this host's share of a limit, in requests a second; undefined when it has none. */
  function computeShare(serverId: BackendServerId, perSecond: number): number | undefined {
    const senders = computeRendezvousOrder(serverId, options.listHosts(serverId)).slice(
      0,
      Math.floor(perSecond) + EXTRA_SENDERS,
    );
    if (!senders.includes(hostId)) return undefined;
    return Math.max(MIN_RATE_PER_SECOND, perSecond) / senders.length;
  }

  /** Adds the requests that became due; a host that becomes a sender starts with none. */
  function refill(serverId: BackendServerId, limit: NamedLimit, perSecond: number): void {
    const now = clock.now();
    const share = computeShare(serverId, perSecond);
    const elapsedS = (now - limit.refilledAt) / MS_PER_SECOND;
    limit.refilledAt = now;
    if (share === undefined || !limit.isSender) limit.tokens = 0;
    else limit.tokens = Math.min(Math.max(1, share * BURST_S), limit.tokens + share * elapsedS);
    limit.isSender = share !== undefined;
  }

  function setLimit(
    serverId: BackendServerId,
    perSecond: number | undefined,
    at: number,
    source: string,
  ): void {
    const known = limits.get(serverId);
    const previous = known?.perSecond;
    if (known === undefined && perSecond === undefined) return;
    if (known === undefined) {
      const bucket = { tokens: 0, refilledAt: clock.now(), isSender: false, lastSentAt: -Infinity };
      limits.set(serverId, { perSecond, at, ...bucket });
    } else Object.assign(known, { perSecond, at });
    if (previous === perSecond) return;
    logger.info('limit of a backend server changed', {
      backendServer: serverId,
      perSecond,
      previousPerSecond: previous,
      ageMs: Math.round(clock.now() - at),
      source,
    });
    options.onChange();
  }

  function removeEnded(): void {
    for (const [serverId, { perSecond, at }] of limits) {
      if (perSecond === undefined && clock.now() - at > END_REPORT_MS) limits.delete(serverId);
    }
  }

  function maySend(serverId: BackendServerId): boolean {
    if (backoffs.findRemainingMs(serverId) > 0) return false;
    const limit = limits.get(serverId);
    if (limit?.perSecond === undefined) return true;
    refill(serverId, limit, limit.perSecond);
    return limit.tokens >= 1;
  }

  return {
    recordAnswer(serverId, perSecond) {
      const known = limits.get(serverId);
      const now = clock.now();
      const isReordered =
        perSecond === undefined && known?.perSecond !== undefined && now - known.at < REORDER_MS;
      if (!isReordered) setLimit(serverId, perSecond, now, 'answer');
    },
    isLimited: (serverId) =>
      limits.get(serverId)?.perSecond !== undefined || backoffs.findRemainingMs(serverId) > 0,
    maySend,
    recordSent(serverId) {
      const limit = limits.get(serverId);
      if (limit?.perSecond === undefined) return;
      limit.tokens -= 1;
      limit.lastSentAt = clock.now();
    },
    isRefreshDue(serverId) {
      const limit = limits.get(serverId);
      if (limit?.perSecond === undefined) return false;
      const lastAt = Math.max(limit.at, limit.lastSentAt);
      return clock.now() - lastAt > REFRESH_MS && maySend(serverId);
    },
    countLimited: () =>
      [...limits.values()].filter(({ perSecond }) => perSecond !== undefined).length,
    backoffs,
    update(serverIds) {
      for (const serverId of limits.keys()) if (!serverIds.has(serverId)) limits.delete(serverId);
    },
    applyReports(reports, source) {
      for (const { serverId, perSecond, ageMs } of reports) {
        const known = limits.get(serverId);
        const at = clock.now() - ageMs;
        if (known !== undefined && at <= known.at + MIN_NEWS_MS) continue;
        setLimit(serverId, perSecond, at, source);
      }
    },
    listReports() {
      removeEnded();
      return [...limits].slice(0, MAX_REPORTED).map(([serverId, { perSecond, at }]) => ({
        serverId,
        ageMs: Math.round(clock.now() - at),
        ...(perSecond === undefined ? {} : { perSecond }),
      }));
    },
  };
}
