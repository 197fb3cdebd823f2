import type { BackendServerId, Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { ListedServer } from './RelayConfiguration.js';

/** Time for which a server that is not listed any more is remembered, in milliseconds. */
const MEMORY_MS = 300_000;

/** Identifies one start of a server. @public */
export type ServerStart = Pick<ListedServer, 'serverId' | 'address' | 'startedAt'>;

/**
 * The backend servers that have said in a response that they leave. Until such a server has started
 * again, this holds whatever the store lists.
 *
 * @public
 */
export interface LeavingServers {
  /**
   * Records that a server has said that it leaves.
   *
   * @param server - the server, as it was listed when the request was sent
   * @param source - how this host knows
   */
  record(server: ServerStart, source: string): void;
  /** Whether the server has said that it leaves, since it started. */
  has(server: ServerStart): boolean;
  /** Returns the number of servers that have said so while the store lists them as ready. */
  readonly count: () => number;
  /** Applies a new list of servers. */
  update(servers: readonly ListedServer[]): void;
}

/** Options of {@link createLeavingServers}. @public */
export interface LeavingServersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

interface LeavingServer {
  readonly server: ServerStart;
  /** Whether the store lists it as ready. */
  isListed: boolean;
  /** Time of the last list that had it. */
  listedAt: number;
}

/** Whether two entries of an id are of the same start, or the first one is of a later one. */
const isSameOrLater = (known: ServerStart, other: ServerStart) =>
  known.startedAt === undefined || other.startedAt === undefined
    ? known.address === other.address
    : known.startedAt >= other.startedAt;

/**
 * Creates the knowledge of a host that has heard of no server.
 *
 * @param options - see {@link LeavingServersOptions}
 * @returns the knowledge
 * @public
 */
export function createLeavingServers(options: LeavingServersOptions): LeavingServers {
  const { clock, logger } = options;
  const leaving = new Map<BackendServerId, LeavingServer>();

  function has(server: ServerStart): boolean {
    const known = leaving.get(server.serverId);
    return known !== undefined && isSameOrLater(known.server, server);
  }

  return {
    record({ serverId, address, startedAt }, source) {
      const server = { serverId, address, startedAt };
      if (has(server)) return;
      leaving.set(serverId, { server, isListed: true, listedAt: clock.now() });
      logger.info('backend server says that it leaves', {
        backendServer: serverId,
        address,
        startedAt,
        source,
      });
    },
    has,
    count: () => [...leaving.values()].filter(({ isListed }) => isListed).length,
    update(servers) {
      const listed = new Map(servers.map((server) => [server.serverId, server]));
      for (const [serverId, known] of leaving) {
        const server = listed.get(serverId);
        const isCurrent = server !== undefined && isSameOrLater(known.server, server);
        known.isListed = isCurrent && !server.isLeaving;
        if (isCurrent) known.listedAt = clock.now();
        const hasStartedAgain = server !== undefined && !isCurrent;
        if (hasStartedAgain || clock.now() - known.listedAt > MEMORY_MS) leaving.delete(serverId);
      }
    },
  };
}
