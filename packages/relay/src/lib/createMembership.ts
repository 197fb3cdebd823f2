import type { Clock, HostId, Random } from '@endiveferry/base';
import { isFullyLinked } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';

import type { RelayHeartbeat, ReportedHost } from './messages.js';

/** Waiting times, loads and news of the configuration are this fresh, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 400;
/** The same in a fleet that is not fully linked, where what hosts tell must stay small. */
const LARGE_HEARTBEAT_INTERVAL_MS = 1_000;
/** A linked host that was not heard for this many heartbeats gets no work. */
const LIVE_HEARTBEATS = 2.5;
/** Without a link, a host gets no work when nobody heard it for so long, in milliseconds. */
const LIVE_BY_WORD_MS = 5_000;
/** A host that nobody heard for so long, in milliseconds, is forgotten. */
const FORGET_MS = 10_000;
/** Hosts that one heartbeat tells of; a larger fleet is told of by turns. */
const TOLD_HOSTS = 16;

/**
 * Who belongs to the fleet and who takes work, by what this host hears and is told.
 *
 * @internal
 */
export interface Membership {
  /** Takes a heartbeat that this host heard itself, with what it tells of others. */
  noteHeartbeat(hostId: HostId, heartbeat: RelayHeartbeat): void;
  /** Other hosts that were heard lately, by anybody. */
  readonly listKnown: () => readonly HostId[];
  readonly countKnown: () => number;
  /** Other hosts that take work, with their weights. */
  readonly listLive: () => ReadonlyMap<HostId, number>;
  /** What live hosts said last, of those that this host hears itself. */
  readonly listHeartbeats: () => readonly RelayHeartbeat[];
  /** What this host tells of others. */
  readonly listTold: () => ReportedHost[];
  /** The hosts that this one has links to; only what it hears itself counts of them. */
  setLinked(hostIds: readonly HostId[]): void;
  /** Time between two heartbeats over one link, in milliseconds. */
  readonly findIntervalMs: () => number;
}

/**
 * Options of the membership.
 *
 * @internal
 */
export interface MembershipOptions {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  /** Called when a host was found or forgotten. */
  readonly onChange: () => void;
}

interface KnownHost {
  /** When anybody heard it last, by what this host was told. */
  heardAt: number;
  /** When this host heard it itself. */
  directAt: number;
  heartbeat: RelayHeartbeat | undefined;
  isStopping: boolean;
  weight: number;
}

/**
 * Creates the membership of a host that knows no other.
 *
 * @param options - see {@link MembershipOptions}
 * @returns the membership
 * @internal
 */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, logger } = options;
  const known = new Map<HostId, KnownHost>();
  let linked: ReadonlySet<HostId> = new Set();

  const findIntervalMs = () =>
    isFullyLinked(known.size + 1) ? HEARTBEAT_INTERVAL_MS : LARGE_HEARTBEAT_INTERVAL_MS;

  function findHost(id: HostId): KnownHost {
    const host = known.get(id);
    if (host !== undefined) return host;
    const found: KnownHost = {
      heardAt: clock.now(),
      directAt: -Infinity,
      heartbeat: undefined,
      isStopping: false,
      weight: 1,
    };
    known.set(id, found);
    logger.info('a host was found', { peer: id });
    options.onChange();
    return found;
  }

  /** Takes what another host told of a third one, unless this host knows something newer. */
  function noteTold([id, ageMs, isStopping, weight]: ReportedHost): void {
    if (id === options.hostId || ageMs > FORGET_MS) return;
    const heardAt = clock.now() - ageMs;
    const isNew = !known.has(id);
    const host = findHost(id);
    if (!isNew && heardAt <= host.heardAt) return;
    Object.assign(host, { heardAt, isStopping, weight });
  }

  function forgetSilent(): void {
    for (const [id, { heardAt }] of known) {
      if (clock.now() - heardAt <= FORGET_MS) continue;
      known.delete(id);
      logger.info('a host is forgotten', { peer: id, unheardMs: FORGET_MS });
      options.onChange();
    }
  }

  /** Others may hear a host that this one cannot reach, so their word counts only without a link. */
  function isLive(id: HostId, { heardAt, directAt }: KnownHost): boolean {
    return linked.has(id)
      ? clock.now() - directAt < findIntervalMs() * LIVE_HEARTBEATS
      : clock.now() - heardAt < LIVE_BY_WORD_MS;
  }

  return {
    noteHeartbeat(id, heartbeat) {
      if (id === options.hostId) return;
      const host = findHost(id);
      const { processId, isStopping, weight } = heartbeat;
      if (host.heartbeat !== undefined && host.heartbeat.processId !== processId) {
        logger.info('a host started again', { peer: id, process: processId });
      }
      const now = clock.now();
      Object.assign(host, { heartbeat, isStopping, weight, heardAt: now, directAt: now });
      for (const told of heartbeat.hosts) noteTold(told);
      forgetSilent();
    },
    listKnown: () => [...known.keys()],
    countKnown: () => known.size,
    listLive: () =>
      new Map(
        [...known].flatMap(([id, host]) =>
          isLive(id, host) && !host.isStopping ? [[id, host.weight] as const] : [],
        ),
      ),
    listHeartbeats: () =>
      [...known].flatMap(([id, host]) =>
        isLive(id, host) && host.heartbeat !== undefined ? [host.heartbeat] : [],
      ),
    listTold() {
      const hosts = [...known];
      const first = hosts.length <= TOLD_HOSTS ? 0 : options.random.nextInteger(hosts.length);
      return [...hosts.slice(first), ...hosts.slice(0, first)]
        .slice(0, TOLD_HOSTS)
        .map(([id, { heardAt, isStopping, weight }]) => [
          id,
          Math.round(clock.now() - heardAt),
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
