import type { Clock } from '@endiveferry/base';
import {
  createStreamOrigins,
  createVersionHistory,
  type Backends,
  type Fleet,
  type ServerList,
  type StreamOrigins,
  type VersionHistory,
} from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

/** Knows which software version began each stream, and which versions may have. @internal */
export interface StreamTracking {
  readonly origins: StreamOrigins;
  readonly versions: VersionHistory;
  /** Applies the list of backend servers after a change. */
  applyServers(): void;
}

/** Options of {@link createStreamTracking}. @internal */
export interface StreamTrackingOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly servers: ServerList;
  readonly backends: Backends;
  readonly findFleet: () => Fleet;
}

/**
 * Creates the tracking of streams on this host.
 *
 * @param options - see {@link StreamTrackingOptions}
 * @returns the tracking
 * @internal
 */
export function createStreamTracking(options: StreamTrackingOptions): StreamTracking {
  const { clock, logger, servers, backends, findFleet } = options;
  const versions = createVersionHistory(clock);
  const origins = createStreamOrigins({
    clock,
    logger,
    history: versions,
    findFleet,
    isServed: ({ poolId, softwareVersion }) =>
      backends
        .listPool(poolId)
        .some(({ server }) => !server.isLeaving && server.softwareVersion === softwareVersion),
  });
  return {
    origins,
    versions,
    applyServers() {
      if (servers.position().revision === 0) return;
      versions.update(servers.list());
      origins.shareRecords();
    },
  };
}
