import type { BackendServerId, Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { EvacuatedZones } from './createEvacuatedZones.js';
import type { WarmUps } from './createWarmUps.js';
import type { LeavingServers } from './createLeavingServers.js';
import { isSameProcess } from './isSameProcess.js';
import type { ServerChange } from '../ports.js';
import type { ListedServer } from '../RelayConfiguration.js';
import { isAfter, NO_POSITION, type StorePosition } from '../StorePosition.js';

/** Running servers register again within about this time after a store outage, in milliseconds. */
const REREGISTRATION_WINDOW_MS = 2_000;
/**
 * Longest time that a server stays listed after its entry disappeared within that window, in
 * milliseconds.
 */
const REMOVAL_DELAY_MS = 1_500;
/**
 * The same for servers that an older copy of the store lacks, in milliseconds: they register again
 * only after they have noticed.
 */
const MISSING_DELAY_MS = 2_500;
/**
 * Time after which a copy of the store no longer lists servers that have left, in milliseconds:
 * without heartbeats their entries expire.
 */
const COPY_EXPIRY_MS = 4_500;
/** Time for which a server that has left is remembered, in milliseconds; longer than copies are old. */
const REMOVED_MEMORY_MS = 60_000;

/**
 * List of the registered backend servers, as the store publishes it.
 *
 * @public
 */
export interface ServerList {
  /** Returns all servers, including those that are leaving by their entries or by their word. */
  readonly list: () => readonly ListedServer[];
  /** Returns the servers as the store lists them. */
  readonly listEntries: () => readonly ListedServer[];
  find(serverId: BackendServerId): ListedServer | undefined;
  /** Whether a server, as it was listed when it was chosen, may still get new requests. */
  readonly mayReceive: (server: ListedServer) => boolean;
  /** Returns where in the store's history the list was read. */
  readonly position: () => StorePosition;
  /**
   * Replaces the list with a complete one; ignores one from before the current position. The first
   * list of a new epoch is an older copy: it neither ends a server's leaving, nor does it list a
   * server again that has left, until the server itself writes its entry.
   */
  replace(servers: readonly ListedServer[], position: StorePosition, source: string): void;
  /** Applies changes that were written at the store; ignores those of an earlier epoch. */
  apply(changes: readonly ServerChange[], position: StorePosition): void;
  /** Records that the store is reachable again after an outage. */
  recordStoreRecovery(): void;
  /** Removes a server whose address another server has taken over. */
  remove(serverId: BackendServerId, reason: string): void;
}

/** Options of {@link createServerList}. @public */
export interface ServerListOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** The servers that have said that they leave, whatever their entries say. */
  readonly leaving: Pick<LeavingServers, 'has'>;
  /** The availability zones to which nothing may be sent; by default none. */
  readonly evacuated?: Pick<EvacuatedZones, 'has'>;
  /** Hears of all entries that are received; by default nothing does. */
  readonly warmUps?: Pick<WarmUps, 'recordEntry'>;
  /** Called after each change. */
  readonly onChange: () => void;
}

/**
 * Whether two entries of a cold server differ at most in the time for which it stays cold, which
 * counts down with each entry.
 */
function isCountdown(known: ListedServer, server: ListedServer): boolean {
  if (server.warmUpLeftMs === undefined) return false;
  const [before, after] = [known, server].map((entry) =>
    JSON.stringify(
      { ...entry, warmUpLeftMs: 0 },
      Object.keys({ ...entry, warmUpLeftMs: 0 }).sort(),
    ),
  );
  return before === after;
}

/**
 * Creates an empty list. Servers whose entries disappear right after an outage of the store are
 * kept for a short time: running servers register again, and removing all of them would stop the
 * service.
 *
 * @param options - see {@link ServerListOptions}
 * @returns the list
 * @public
 */
export function createServerList(options: ServerListOptions): ServerList {
  const { clock, logger, leaving, onChange } = options;
  const servers = new Map<BackendServerId, ListedServer>();
  const removalRequestedAt = new Map<BackendServerId, number>();
  /** When servers left the list; the earliest first. */
  const removedAt = new Map<BackendServerId, number>();
  /** Servers that a copy lists although they had left. */
  const doubted = new Map<BackendServerId, ListedServer>();
  let position = NO_POSITION;
  let storeRecoveredAt = -Infinity;
  let copyReadAt = -Infinity;

  function applyStatus(server: ListedServer): ListedServer {
    const isLeaving = server.isLeaving || leaving.has(server);
    const isEvacuated = options.evacuated?.has(server.availabilityZone) === true;
    if (isLeaving === server.isLeaving && !isEvacuated) return server;
    return { ...server, isLeaving, ...(isEvacuated ? { isEvacuated } : {}) };
  }

  function find(serverId: BackendServerId): ListedServer | undefined {
    const server = servers.get(serverId);
    return server === undefined ? undefined : applyStatus(server);
  }

  const isFromCopy = () => clock.now() - copyReadAt < COPY_EXPIRY_MS;

  /** Lists a server; returns whether its entry differs in more than the time for which it is cold. */
  function setServer(server: ListedServer): boolean {
    removalRequestedAt.delete(server.serverId);
    doubted.delete(server.serverId);
    removedAt.delete(server.serverId);
    const known = servers.get(server.serverId);
    servers.set(server.serverId, server);
    options.warmUps?.recordEntry(server);
    const hasChanged =
      known?.isLeaving !== server.isLeaving || known.softwareVersion !== server.softwareVersion;
    if (hasChanged) {
      logger.info('backend server added or changed', {
        backendServer: server.serverId,
        pool: server.poolId,
        address: server.address,
        isLeaving: server.isLeaving,
        softwareVersion: server.softwareVersion,
        ...position,
      });
    }
    return known === undefined || !isCountdown(known, server);
  }

  function removeServer(serverId: BackendServerId, reason: string): void {
    removalRequestedAt.delete(serverId);
    if (!servers.delete(serverId)) return;
    recordRemoved(serverId);
    logger.info('backend server removed', { backendServer: serverId, reason, ...position });
  }

  function recordRemoved(serverId: BackendServerId): void {
    removedAt.delete(serverId);
    removedAt.set(serverId, clock.now());
    for (const [id, at] of removedAt) {
      if (clock.now() - at <= REMOVED_MEMORY_MS) break;
      removedAt.delete(id);
    }
  }

  /** Lists a server as a copy of the store shows it, unless newer information is known. */
  function setCopiedServer(server: ListedServer): void {
    const { serverId } = server;
    const known = servers.get(serverId);
    if (known?.isLeaving === true) removalRequestedAt.delete(serverId);
    else if (known === undefined && removedAt.has(serverId)) doubted.set(serverId, server);
    else setServer(server);
  }

  function scheduleDoubtedServers(): void {
    if (doubted.size === 0) return;
    logger.info('servers that have left are listed by an older copy of the store', {
      backendServers: [...doubted.keys()],
    });
    clock.schedule(copyReadAt + COPY_EXPIRY_MS - clock.now(), () => {
      if (doubted.size === 0 || isFromCopy()) return;
      for (const server of [...doubted.values()]) setServer(server);
      onChange();
    });
  }

  function scheduleRemoval(serverId: BackendServerId, delayMs = REMOVAL_DELAY_MS): void {
    doubted.delete(serverId);
    if (!servers.has(serverId) || removalRequestedAt.has(serverId)) return;
    const recoveredAt = Math.max(storeRecoveredAt, copyReadAt);
    if (clock.now() - recoveredAt > REREGISTRATION_WINDOW_MS) {
      removeServer(serverId, 'its entry was removed');
      return;
    }
    const since = clock.now();
    removalRequestedAt.set(serverId, since);
    clock.schedule(delayMs, () => {
      if (removalRequestedAt.get(serverId) !== since) return;
      removeServer(serverId, 'its entry was not restored after an outage of the store');
      onChange();
    });
  }

  const handlers: {
    [Kind in ServerChange['kind']]: (change: Extract<ServerChange, { kind: Kind }>) => boolean;
  } = {
    written: ({ server }) => setServer(server),
    removed({ serverId }) {
      scheduleRemoval(serverId);
      return true;
    },
  };

  return {
    list: () => [...servers.values()].map(applyStatus),
    listEntries: () => [...servers.values()],
    find,
    mayReceive(server) {
      const listed = find(server.serverId);
      if (listed === undefined || listed.isLeaving || listed.isEvacuated === true) return false;
      return isSameProcess(listed, server);
    },
    position: () => position,
    replace(listed, nextPosition, source) {
      if (isAfter(position, nextPosition)) return;
      if (position.epoch > 0 && nextPosition.epoch > position.epoch) copyReadAt = clock.now();
      doubted.clear();
      position = nextPosition;
      const ids = new Set(listed.map(({ serverId }) => serverId));
      for (const serverId of [...servers.keys()])
        if (!ids.has(serverId)) scheduleRemoval(serverId, MISSING_DELAY_MS);
      for (const server of listed) {
        if (isFromCopy()) setCopiedServer(server);
        else setServer(server);
      }
      scheduleDoubtedServers();
      logger.info('read the list of backend servers', {
        ...position,
        count: listed.length,
        source,
      });
      onChange();
    },
    apply(changes, nextPosition) {
      if (nextPosition.epoch < position.epoch) return;
      if (isAfter(nextPosition, position)) position = nextPosition;
      let hasChanged = false;
      for (const change of changes) {
        const handle = handlers[change.kind] as (change: ServerChange) => boolean;
        if (handle(change)) hasChanged = true;
      }
      if (hasChanged) onChange();
    },
    recordStoreRecovery() {
      storeRecoveredAt = clock.now();
    },
    remove(serverId, reason) {
      if (!servers.has(serverId)) return;
      removeServer(serverId, reason);
      onChange();
    },
  };
}
