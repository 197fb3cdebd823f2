import type {
  ConfigurationEntry,
  ConfigurationTracker,
  DualClock,
  EvacuatedZones,
  ServerList,
  StoreEpochs,
  StoreListener,
  VersionHistory,
} from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

/** Options of {@link createStoreListener}. @internal */
export interface StoreListenerOptions {
  readonly logger: Logger;
  readonly configurationTracker: ConfigurationTracker;
  readonly servers: ServerList;
  readonly evacuated: Pick<EvacuatedZones, 'replace' | 'apply'>;
  readonly versions: Pick<VersionHistory, 'recordContact' | 'recordPast'>;
  readonly epochs: StoreEpochs;
  readonly dualClock: DualClock;
}

/**
 * Creates the listener that applies what is read from the store.
 *
 * @param options - see {@link StoreListenerOptions}
 * @returns the listener
 * @internal
 */
export function createStoreListener(options: StoreListenerOptions): StoreListener {
  const { logger, configurationTracker, servers, evacuated, versions, epochs, dualClock } = options;
  let logged = '';

  /** Logs what the store shows and whether it confirms it, once until either changes. */
  function logEntry({ version, position }: ConfigurationEntry, isConfirmed: boolean): void {
    const entry = `${position.epoch} ${position.revision} ${isConfirmed}`;
    if (entry === logged) return;
    logged = entry;
    logger.info('read the configuration from the store', {
      version,
      ...position,
      isConfirmed,
      versionInForce: configurationTracker.version(),
    });
  }

  return {
    onResponse: (epoch, revision) => epochs.recordResponse(epoch, revision),
    onConfiguration(document, position, requestedAt) {
      const { version } = document.configuration;
      const entry = { version, position, requestedAt };
      const isConfirmed = epochs.confirm(entry);
      logEntry(entry, isConfirmed);
      const confirmedAt = isConfirmed ? requestedAt : dualClock.subtract(requestedAt, Infinity);
      configurationTracker.apply(document, confirmedAt, 'the store');
    },
    onServerList: (list, position) => servers.replace(list, position, 'the store'),
    onServerChanges(changes, position) {
      versions.recordContact();
      servers.apply(changes, position);
    },
    onEvacuations: (requests, position) => evacuated.replace(requests, position),
    onEvacuationChanges: (changes, position) => evacuated.apply(changes, position),
    onPastServers(past, knownMs) {
      versions.recordPast(past, knownMs);
      logger.info('read which backend servers were listed before', {
        backendServers: past.map(({ serverId }) => serverId),
        knownMs,
      });
    },
    onReachabilityChange(what, isReachable, detail) {
      if (what === 'servers' && isReachable) servers.recordStoreRecovery();
      logger.warn(isReachable ? 'the store is reachable again' : 'the store is unreachable', {
        what,
        detail,
        version: configurationTracker.version(),
        serversEpoch: servers.position().epoch,
        serversRevision: servers.position().revision,
      });
    },
  };
}
