import type { BackendServerId, Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { ServerChange } from './ports.js';
import type { ListedServer } from './RelayConfiguration.js';

/** Running servers register again within about this time after a store outage, in milliseconds. */
const REREGISTRATION_WINDOW_MS = 2_000;
/**
 * Longest time that a server stays listed after its entry disappeared within that window, in
 * milliseconds.
 */
const REMOVAL_DELAY_MS = 1_500;

/**
 * List of the registered backend servers, as the store publishes it.
 *
 * @public
 */
export interface ServerList {
  /** Returns all servers, including those that are leaving. */
  readonly list: () => readonly ListedServer[];
  find(serverId: BackendServerId): ListedServer | undefined;
  /** Returns the store's revision of the list; 0 before the first one. */
  readonly revision: () => number;
  /** Replaces the list with a complete one; ignores a revision older than the current one. */
  replace(servers: readonly ListedServer[], revision: number, source: string): void;
  apply(changes: readonly ServerChange[], revision: number): void;
  /** Records that the store is reachable again after an outage. */
  recordStoreRecovery(): void;
  /** Removes a server whose address another server has taken over. */
  remove(serverId: BackendServerId, reason: string): void;
}

/**
 * Creates an empty list. Servers whose entries disappear right after an outage of the store are
 * kept for a short time: running servers register again, and removing all of them would stop the
 * service.
 *
 * @param clock - clock that times delayed removals
 * @param logger - logger of each change
 * @param onChange - called after each change
 * @returns the list
 * @public
 */
export function createServerList(clock: Clock, logger: Logger, onChange: () => void): ServerList {
  const servers = new Map<BackendServerId, ListedServer>();
  const removalRequestedAt = new Map<BackendServerId, number>();
  let revision = 0;
  let storeRecoveredAt = -Infinity;

  function setServer(server: ListedServer): void {
    removalRequestedAt.delete(server.serverId);
    const known = servers.get(server.serverId);
    servers.set(server.serverId, server);
    if (known?.isLeaving !== server.isLeaving) {
      logger.info('backend server added or changed', {
        backendServer: server.serverId,
        pool: server.poolId,
        address: server.address,
        isLeaving: server.isLeaving,
        revision,
      });
    }
  }

  function removeServer(serverId: BackendServerId, reason: string): void {
    removalRequestedAt.delete(serverId);
    if (!servers.delete(serverId)) return;
    logger.info('backend server removed', { backendServer: serverId, reason, revision });
  }

  function scheduleRemoval(serverId: BackendServerId): void {
    if (!servers.has(serverId) || removalRequestedAt.has(serverId)) return;
    if (clock.now() - storeRecoveredAt > REREGISTRATION_WINDOW_MS) {
      removeServer(serverId, 'its entry was removed');
      return;
    }
    const since = clock.now();
    removalRequestedAt.set(serverId, since);
    clock.schedule(REMOVAL_DELAY_MS, () => {
      if (removalRequestedAt.get(serverId) !== since) return;
      removeServer(serverId, 'its entry was not restored after an outage of the store');
      onChange();
    });
  }

  const handlers: {
    [Kind in ServerChange['kind']]: (change: Extract<ServerChange, { kind: Kind }>) => void;
  } = {
    written: ({ server }) => setServer(server),
    removed: ({ serverId }) => scheduleRemoval(serverId),
  };

  return {
    list: () => [...servers.values()],
    find: (serverId) => servers.get(serverId),
    revision: () => revision,
    replace(listed, nextRevision, source) {
      if (nextRevision < revision) return;
      revision = nextRevision;
      const ids = new Set(listed.map(({ serverId }) => serverId));
      for (const serverId of [...servers.keys()]) if (!ids.has(serverId)) scheduleRemoval(serverId);
      for (const server of listed) setServer(server);
      logger.info('read the list of backend servers', {
        revision,
        count: listed.length,
        source,
      });
      onChange();
    },
    apply(changes, nextRevision) {
      revision = Math.max(revision, nextRevision);
      for (const change of changes) {
        const handle = handlers[change.kind] as (change: ServerChange) => void;
        handle(change);
      }
      if (changes.length > 0) onChange();
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
