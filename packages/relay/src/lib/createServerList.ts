import type { BackendServerId, Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { ServerChange } from './ports.js';
import type { ListedServer } from './RelayConfiguration.js';

/** After an outage, living servers are listed again within about this time, in milliseconds. */
const RELIST_MS = 2_000;
/** A server that vanished in that time is used no longer than this, in milliseconds. */
const HOLD_MS = 1_500;

/**
 * The list of backend servers.
 *
 * @public
 */
export interface ServerList {
  /** Servers that may be used, leaving ones included. */
  readonly list: () => readonly ListedServer[];
  find(serverId: BackendServerId): ListedServer | undefined;
  /** The store's revision that the list is of; 0 before the first. */
  readonly revision: () => number;
  replace(servers: readonly ListedServer[], revision: number, source: string): void;
  apply(changes: readonly ServerChange[], revision: number): void;
  /** Notes that the store answers again after it did not. */
  recordStoreRecovery(): void;
  /** Takes out a server that another one's answer proved gone. */
  remove(serverId: BackendServerId, reason: string): void;
}

/**
 * Creates an empty list. Entries that vanish right after an outage of the store are held for a
 * moment: servers that live are listed again, and dropping all of them would stop the service.
 *
 * @param clock - times the holding
 * @param logger - told of each change
 * @param onChange - called after each change
 * @returns the list
 * @public
 */
export function createServerList(clock: Clock, logger: Logger, onChange: () => void): ServerList {
  const servers = new Map<BackendServerId, ListedServer>();
  const heldSince = new Map<BackendServerId, number>();
  let revision = 0;
  let regainedAt = -Infinity;

  function write(server: ListedServer): void {
    heldSince.delete(server.serverId);
    const known = servers.get(server.serverId);
    servers.set(server.serverId, server);
    if (known?.isLeaving !== server.isLeaving) {
      logger.info('a backend server is listed', {
        backendServer: server.serverId,
        pool: server.poolId,
        address: server.address,
        isLeaving: server.isLeaving,
        revision,
      });
    }
  }

  function drop(serverId: BackendServerId, reason: string): void {
    heldSince.delete(serverId);
    if (!servers.delete(serverId)) return;
    logger.info('a backend server is used no more', { backendServer: serverId, reason, revision });
  }

  function release(serverId: BackendServerId): void {
    if (!servers.has(serverId) || heldSince.has(serverId)) return;
    if (clock.now() - regainedAt > RELIST_MS) {
      drop(serverId, 'its entry was removed');
      return;
    }
    const since = clock.now();
    heldSince.set(serverId, since);
    clock.schedule(HOLD_MS, () => {
      if (heldSince.get(serverId) !== since) return;
      drop(serverId, 'its entry did not come back after an outage of the store');
      onChange();
    });
  }

  const handlers: {
    [Kind in ServerChange['kind']]: (change: Extract<ServerChange, { kind: Kind }>) => void;
  } = {
    written: ({ server }) => write(server),
    removed: ({ serverId }) => release(serverId),
  };

  return {
    list: () => [...servers.values()],
    find: (serverId) => servers.get(serverId),
    revision: () => revision,
    replace(listed, nextRevision, source) {
      if (nextRevision < revision) return;
      revision = nextRevision;
      const ids = new Set(listed.map(({ serverId }) => serverId));
      for (const serverId of [...servers.keys()]) if (!ids.has(serverId)) release(serverId);
      for (const server of listed) write(server);
      logger.info('the list of backend servers was read', {
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
      regainedAt = clock.now();
    },
    remove(serverId, reason) {
      if (!servers.has(serverId)) return;
      drop(serverId, reason);
      onChange();
    },
  };
}
