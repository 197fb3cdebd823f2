import {
  computeRendezvousOrder,
  type Clock,
  type HostId,
  type Random,
  type RequestId,
} from '@endiveferry/base';
import { isFullyLinked } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';

import type { RelayHeartbeat, ReportedHost } from './messages.js';

/**
 * Interval between heartbeats, in milliseconds. It bounds the age of the waiting times, loads and
 * configuration versions of other hosts.
 */
const HEARTBEAT_INTERVAL_MS = 400;
/** The same in a fleet that is not fully linked, where the volume of heartbeats must stay small. */
const LARGE_HEARTBEAT_INTERVAL_MS = 1_000;
/** A linked host that misses heartbeats for this many intervals gets no work. */
const LIVE_INTERVALS = 2.5;
/**
 * A host without a link gets no work when no host has received its heartbeat for this long, in
 * milliseconds.
 */
const INDIRECT_LIVE_MS = 5_000;
/** A host whose heartbeat no host has received for this long, in milliseconds, is removed. */
const EXPIRY_MS = 10_000;
/** Hosts that hold the record of a stream in a fleet that is not fully linked. */
const RECORD_HOLDERS = 3;
/** Hosts listed in one heartbeat; a larger fleet is listed in varying sections. */
const MAX_REPORTED_HOSTS = 16;

/**
 * Tracks which hosts belong to the fleet and which of them accept work, from heartbeats received
 * directly and from what other hosts report in theirs.
 *
 * @internal
 */
export interface Membership {
  /** Records a heartbeat received over a link, including the hosts that it reports. */
  recordHeartbeat(hostId: HostId, heartbeat: RelayHeartbeat): void;
  /** Returns the other hosts whose heartbeat any host has received recently. */
  readonly listKnown: () => readonly HostId[];
  readonly countKnown: () => number;
  /**
   * Returns the other hosts that accept work, with their weights; the same map until one of them
   * changes.
   */
  readonly listLive: () => ReadonlyMap<HostId, number>;
  /** Returns the live hosts that reach most backend servers, as far as they have reported. */
  readonly listCarriers: () => readonly HostId[];
  /** Returns the other hosts that hold the record of a request's stream. */
  readonly listRecordHolders: (requestId: RequestId) => readonly HostId[];
  /** Returns the last heartbeats of the live hosts that have sent one to this host. */
  readonly listHeartbeats: () => readonly RelayHeartbeat[];
  /** Returns the hosts to report in the next heartbeat. */
  readonly listReported: () => ReportedHost[];
  /** Sets the hosts that this host has links to; these are live only by their own heartbeats. */
  setLinked(hostIds: readonly HostId[]): void;
  /** Returns the interval between two heartbeats over one link, in milliseconds. */
  readonly findIntervalMs: () => number;
}

/**
 * Options of {@link createMembership}.
 *
 * @internal
 */
export interface MembershipOptions {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  /** Called after a host was added or removed. */
  readonly onChange: () => void;
}

interface KnownHost {
  /** Time of its last heartbeat to any host, as far as reported. */
  lastSeenAt: number;
  /** Time of its last heartbeat to this host. */
  lastDirectAt: number;
  heartbeat: RelayHeartbeat | undefined;
  isStopping: boolean;
  weight: number;
}

/**
 * Creates a membership without other hosts.
 *
 * @param options - see {@link MembershipOptions}
 * @returns the membership
 * @internal
 */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, logger } = options;
  const known = new Map<HostId, KnownHost>();
  let linked: ReadonlySet<HostId> = new Set();
  let live: ReadonlyMap<HostId, number> = new Map();

  const findIntervalMs = () =>
    isFullyLinked(known.size + 1) ? HEARTBEAT_INTERVAL_MS : LARGE_HEARTBEAT_INTERVAL_MS;

  function findOrAddHost(id: HostId): KnownHost {
    const host = known.get(id);
    if (host !== undefined) return host;
    const added: KnownHost = {
      lastSeenAt: clock.now(),
      lastDirectAt: -Infinity,
      heartbeat: undefined,
      isStopping: false,
      weight: 1,
    };
    known.set(id, added);
    logger.info('host added', { peer: id });
    options.onChange();
    return added;
  }

  /** Records what another host reports of a third one, unless newer information is known. */
  function recordReportedHost([id, ageMs, isStopping, weight]: ReportedHost): void {
    if (id === options.hostId || ageMs > EXPIRY_MS) return;
    const lastSeenAt = clock.now() - ageMs;
    const isNew = !known.has(id);
    const host = findOrAddHost(id);
    if (!isNew && lastSeenAt <= host.lastSeenAt) return;
    Object.assign(host, { lastSeenAt, isStopping, weight });
  }

  function removeExpired(): void {
    for (const [id, { lastSeenAt }] of known) {
      if (clock.now() - lastSeenAt <= EXPIRY_MS) continue;
      known.delete(id);
      logger.info('host removed: no heartbeat received', { peer: id, unheardMs: EXPIRY_MS });
      options.onChange();
    }
  }

  /**
   * Other hosts may receive heartbeats of a host that this one cannot reach, so their reports count
   * only for hosts without a link.
   */
  function isLive(id: HostId, { lastSeenAt, lastDirectAt }: KnownHost): boolean {
    return linked.has(id)
      ? clock.now() - lastDirectAt < findIntervalMs() * LIVE_INTERVALS
      : clock.now() - lastSeenAt < INDIRECT_LIVE_MS;
  }

  /** Returns the weight of a host that accepts work. */
  const findLiveWeight = (id: HostId, host: KnownHost) =>
    isLive(id, host) && !host.isStopping ? host.weight : undefined;

  /** Whether the live hosts or their weights differ from those that were listed last. */
  function hasLiveChanged(): boolean {
    let count = 0;
    for (const [id, host] of known) {
      const weight = findLiveWeight(id, host);
      if (weight !== live.get(id)) return true;
      if (weight !== undefined) count += 1;
    }
    return count !== live.size;
  }

  return {
    recordHeartbeat(id, heartbeat) {
      if (id === options.hostId) return;
      const host = findOrAddHost(id);
      const { processId, isStopping, weight } = heartbeat;
      if (host.heartbeat !== undefined && host.heartbeat.processId !== processId) {
        logger.info('host restarted', { peer: id, process: processId });
      }
      const now = clock.now();
      Object.assign(host, { heartbeat, isStopping, weight, lastSeenAt: now, lastDirectAt: now });
      for (const reported of heartbeat.hosts) recordReportedHost(reported);
      removeExpired();
    },
    listKnown: () => [...known.keys()],
    countKnown: () => known.size,
    listLive() {
      if (!hasLiveChanged()) return live;
      live = new Map(
        [...known].flatMap(([id, host]) => {
          const weight = findLiveWeight(id, host);
          return weight === undefined ? [] : [[id, weight] as const];
        }),
      );
      return live;
    },
    listCarriers: () =>
      [...known].flatMap(([id, host]) =>
        isLive(id, host) && !host.isStopping && host.heartbeat?.isCutOff !== true ? [id] : [],
      ),
    listRecordHolders(requestId) {
      const others = [...known.keys()];
      const holders = isFullyLinked(others.length + 1)
        ? others
        : computeRendezvousOrder(requestId, others).slice(0, RECORD_HOLDERS);
      // Hosts of earlier builds close a connection on which they receive records.
      return holders.filter((id) => {
        const heartbeat = known.get(id)?.heartbeat;
        return heartbeat === undefined || heartbeat.versions !== undefined;
      });
    },
    listHeartbeats: () =>
      [...known].flatMap(([id, host]) =>
        isLive(id, host) && host.heartbeat !== undefined ? [host.heartbeat] : [],
      ),
    listReported() {
      const hosts = [...known];
      const first =
        hosts.length <= MAX_REPORTED_HOSTS ? 0 : options.random.nextInteger(hosts.length);
      return [...hosts.slice(first), ...hosts.slice(0, first)]
        .slice(0, MAX_REPORTED_HOSTS)
        .map(([id, { lastSeenAt, isStopping, weight }]) => [
          id,
          Math.round(clock.now() - lastSeenAt),
          isStopping,
          weight,
        ]);
    },
    setLinked(hostIds) {
      linked = new Set(hostIds);
    },
    findIntervalMs,
  };
}
