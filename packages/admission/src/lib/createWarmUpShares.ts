import {
  computeHash,
  computeRendezvousOrder,
  type BackendServerId,
  type Clock,
  type HostId,
} from '@endiveferry/base';

import type { FleetStability } from './createFleetStability.js';

/**
 * Length of the windows in which requests are counted, in milliseconds. It is longer than the second
 * of the rule, because requests of different hosts take different times to arrive.
 */
const WINDOW_MS = 1_050;
const MS_PER_SECOND = 1_000;
/** Share of the rate of a server that is planned. */
const TARGET_SHARE = 0.95;
/** Share of the requests that may reach a server in a window that is planned. */
const PLANNED_SHARE = 0.95;
/**
 * The same for one host that alone may send. Each half of a partition has such a host, so that this
 * is less than a half.
 */
const SINGLE_SHARE = 0.475;
/** Time for which a host may save its rate, in seconds, in addition to one and a half requests. */
const BURST_S = 0.3;
const EXTRA_TOKENS = 0.5;
/** Time in which a chosen request is written or has failed, in milliseconds. */
const RESERVED_MS = 1_100;
const HASH_RANGE = 2 ** 32;

/** How far the requests to a cold server may exceed its rate. @public */
export interface WarmUpBounds {
  /** Factor of the rate. */
  readonly overshoot: number;
  /** Requests in addition. */
  readonly slack: number;
}

/** A server that is cold, and the requests a second that it can handle. @public */
export interface ColdServer {
  readonly serverId: BackendServerId;
  readonly perSecond: number;
  /** Key of the host that alone may send to it; undefined when all hosts may. */
  readonly senderKey: string | undefined;
}

/**
 * This host's shares of the requests that all hosts together may send to cold servers.
 *
 * @public
 */
export interface WarmUpShares {
  /** Whether this host may choose a server for a request now. */
  readonly maySend: (server: ColdServer) => boolean;
  /** Whether this host has a share of the requests to a server at all. */
  readonly hasShare: (server: ColdServer) => boolean;
  /** Reserves the request that a server was chosen for, until it is written. */
  reserve(serverId: BackendServerId): void;
  /** Takes a request from the share immediately before its write; returns whether it may be sent. */
  tryWrite(server: ColdServer): boolean;
  /** Forgets the servers that are not listed. */
  update(serverIds: ReadonlySet<BackendServerId>): void;
}

/** Options of {@link createWarmUpShares}. @public */
export interface WarmUpSharesOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly stability: Omit<FleetStability, 'run'>;
  readonly findBounds: () => WarmUpBounds;
}

interface Share {
  tokens: number;
  refilledAt: number;
  /** Times of the requests that were written in the last window. */
  written: number[];
  /** Times of the requests that a server was chosen for, and that are not written yet. */
  reserved: number[];
  units: number;
  known: readonly HostId[];
  rank: number;
}

/**
 * Creates the shares, without any server. A window of a second may hold a number of requests, which
 * are divided among hosts in rendezvous order; a host sends at most its part in any window, so that
 * the sum follows from the number of parts and not from when hosts send. The order includes hosts
 * that are not live, so that the halves of a partition do not take each other's parts. In addition,
 * each host has a token bucket with its part of the rate.
 *
 * @param options - see {@link WarmUpSharesOptions}
 * @returns the shares
 * @public
 */
export function createWarmUpShares(options: WarmUpSharesOptions): WarmUpShares {
  const { clock, hostId, stability } = options;
  const shares = new Map<BackendServerId, Share>();

  function findShare(serverId: BackendServerId): Share {
    const known = shares.get(serverId);
    if (known !== undefined) return known;
    const share: Share = {
      tokens: 0,
      refilledAt: clock.now(),
      written: [],
      reserved: [],
      units: 0,
      known: [],
      rank: Infinity,
    };
    shares.set(serverId, share);
    return share;
  }

  /** Returns the requests in a window that the hosts which may send divide among them. */
  function computeTotal({ perSecond, senderKey }: ColdServer): number {
    const { overshoot, slack } = options.findBounds();
    const bound = perSecond * overshoot + slack;
    return senderKey === undefined
      ? Math.max(1, Math.floor(bound * PLANNED_SHARE))
      : Math.max(1, Math.floor(bound * SINGLE_SHARE));
  }

  function computeUnits({ serverId, senderKey }: ColdServer, share: Share, total: number): number {
    if (!stability.isSettled()) return 0;
    if (senderKey !== undefined) return stability.isPreferred(senderKey) ? total : 0;
    const known = stability.listKnown();
    if (share.known !== known) {
      const rank = computeRendezvousOrder(serverId, known).indexOf(hostId);
      Object.assign(share, { known, rank: rank < 0 ? Infinity : rank });
    }
    return Math.max(0, Math.ceil((total - share.rank) / known.length));
  }

  /** Returns this host's part of the rate; live hosts take over the rate of lost ones. */
  function computeRate({ perSecond, senderKey }: ColdServer, units: number, total: number): number {
    const liveShare = senderKey === undefined ? stability.findLiveShare() : 1;
    return (perSecond * TARGET_SHARE * units) / total / liveShare;
  }

  /** Adds the requests that became due; returns how many may be sent now. */
  function refill(server: ColdServer, share: Share): number {
    const now = clock.now();
    const total = computeTotal(server);
    const units = computeUnits(server, share, total);
    const rate = computeRate(server, units, total);
    // Hosts that become senders together send their first requests at different times.
    if (share.units === 0) share.tokens = computeHash(`${server.serverId} ${hostId}`) / HASH_RANGE;
    else share.tokens += (rate * (now - share.refilledAt)) / MS_PER_SECOND;
    const capacity = Math.max(1, Math.min(units, rate * BURST_S + 1)) + EXTRA_TOKENS;
    Object.assign(share, { tokens: Math.min(share.tokens, capacity), refilledAt: now, units });
    share.written = share.written.filter((at) => now - at < WINDOW_MS);
    share.reserved = share.reserved.filter((at) => now - at < RESERVED_MS);
    return Math.min(share.tokens, units - share.written.length);
  }

  return {
    maySend(server) {
      const share = findShare(server.serverId);
      const due = refill(server, share);
      return due - share.reserved.length >= 1;
    },
    hasShare(server) {
      const share = findShare(server.serverId);
      refill(server, share);
      return share.units > 0;
    },
    reserve(serverId) {
      shares.get(serverId)?.reserved.push(clock.now());
    },
    tryWrite(server) {
      const share = findShare(server.serverId);
      const due = refill(server, share);
      share.reserved.shift();
      if (due < 1) return false;
      share.tokens -= 1;
      share.written.push(clock.now());
      return true;
    },
    update(serverIds) {
      for (const serverId of shares.keys()) if (!serverIds.has(serverId)) shares.delete(serverId);
    },
  };
}
