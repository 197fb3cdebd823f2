import { backendServerIdSchema, type BackendServerId, type Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { z } from 'zod';

import type { ListedServer } from '../RelayConfiguration.js';

/** Time for which a server that is not listed any more is remembered, in milliseconds. */
const MEMORY_MS = 300_000;
/** Time for which other hosts hear of a server that this host does not list, in milliseconds. */
const REPORT_MS = 10_000;
const MAX_REPORTED = 64;

/** Schema of {@link LeavingReport}. @internal */
export const leavingReportSchema = z.object({
  serverId: backendServerIdSchema,
  address: z.string(),
  startedAt: z.int().optional(),
});

/** A server that has said that it leaves, as hosts report it to each other. @public */
export type LeavingReport = z.infer<typeof leavingReportSchema>;

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
  /** Applies a new list of servers, as the store lists them. */
  update(servers: readonly ListedServer[]): void;
  /** Applies what another host reports. */
  applyReports(reports: readonly LeavingReport[], source: string): void;
  /** Returns what to report to other hosts: servers that the store does not list as leaving. */
  readonly listReports: () => LeavingReport[];
}

/** Options of {@link createLeavingServers}. @public */
export interface LeavingServersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when another server leaves. */
  readonly onChange: () => void;
}

interface LeavingServer {
  readonly server: ServerStart;
  /** Whether the store lists it as ready. */
  isReady: boolean;
  readonly recordedAt: number;
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

  function record({ serverId, address, startedAt }: ServerStart, source: string): void {
    const server = { serverId, address, startedAt };
    if (has(server)) return;
    const now = clock.now();
    leaving.set(serverId, { server, isReady: true, recordedAt: now, listedAt: now });
    logger.info('backend server says that it leaves', {
      backendServer: serverId,
      address,
      startedAt,
      source,
    });
    options.onChange();
  }

  return {
    record,
    has,
    count: () => [...leaving.values()].filter(({ isReady }) => isReady).length,
    update(servers) {
      const listed = new Map(servers.map((server) => [server.serverId, server]));
      for (const [serverId, known] of leaving) {
        const server = listed.get(serverId);
        const isCurrent = server !== undefined && isSameOrLater(known.server, server);
        known.isReady = isCurrent && !server.isLeaving;
        if (isCurrent) known.listedAt = clock.now();
        // Kept after the server has started again: hosts with an older list still report it.
        if (clock.now() - known.listedAt > MEMORY_MS) leaving.delete(serverId);
      }
    },
    applyReports(reports, source) {
      for (const report of reports) record({ startedAt: undefined, ...report }, source);
    },
    listReports: () =>
      [...leaving.values()]
        .filter(({ isReady, recordedAt }) => isReady || clock.now() - recordedAt < REPORT_MS)
        .slice(-MAX_REPORTED)
        .map(({ server: { startedAt, ...server } }) => ({
          ...server,
          ...(startedAt === undefined ? {} : { startedAt }),
        })),
  };
}
