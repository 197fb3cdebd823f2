import type { ConfigurationTracker, ServerList, StoreListener } from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

/** Options of {@link createStoreListener}. @internal */
export interface StoreListenerOptions {
  readonly logger: Logger;
  readonly configurationTracker: ConfigurationTracker;
  readonly servers: ServerList;
}

/**
 * Creates the listener that applies what is read from the store.
 *
 * @param options - see {@link StoreListenerOptions}
 * @returns the listener
 * @internal
 */
export function createStoreListener(options: StoreListenerOptions): StoreListener {
  const { logger, configurationTracker, servers } = options;
  return {
    onConfiguration: (document, requestedAt) =>
      configurationTracker.apply(document, requestedAt, 'the store'),
    onServerList: (list, revision) => servers.replace(list, revision, 'the store'),
    onServerChanges: (changes, revision) => servers.apply(changes, revision),
    onReachabilityChange(what, isReachable, detail) {
      if (what === 'servers' && isReachable) servers.recordStoreRecovery();
      logger.warn(isReachable ? 'the store is reachable again' : 'the store is unreachable', {
        what,
        detail,
        version: configurationTracker.version(),
        serversRevision: servers.revision(),
      });
    },
  };
}
