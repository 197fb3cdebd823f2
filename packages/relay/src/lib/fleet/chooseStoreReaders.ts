import { computeRendezvousOrder, type HostId } from '@endiveferry/base';
import { isFullyLinked } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';

import type { Membership } from './createMembership.js';

/** Hosts for each host that watches the configuration on behalf of a large fleet. */
const HOSTS_PER_READER = 16;
/** Fewest of these, so that some remain when others are lost or cut off from the store. */
const MIN_READERS = 3;
const READERS_KEY = 'store-readers';

/**
 * Chooses the hosts that watch the configuration for the whole fleet. A small fleet, in which each
 * host is linked with each other one, has no need of a choice.
 *
 * @param hostIds - the hosts that are up
 * @returns the hosts that watch
 * @internal
 */
export function chooseStoreReaders(hostIds: readonly HostId[]): ReadonlySet<HostId> {
  if (isFullyLinked(hostIds.length)) return new Set(hostIds);
  const count = Math.max(MIN_READERS, Math.ceil(hostIds.length / HOSTS_PER_READER));
  return new Set(computeRendezvousOrder(READERS_KEY, hostIds).slice(0, count));
}

/**
 * Creates the check whether a host is one of those that watch.
 *
 * @param hostId - the host
 * @param listLive - returns the other live hosts, in the same map until one of them changes
 * @param logger - logs when the host becomes one of them or ceases to be one
 * @returns the check
 * @internal
 */
export function createReaderCheck(
  hostId: HostId,
  listLive: Membership['listLive'],
  logger: Logger,
): () => boolean {
  let last: { readonly live: ReturnType<typeof listLive>; readonly isReader: boolean } | undefined;
  return () => {
    const live = listLive();
    if (last?.live === live) return last.isReader;
    const isReader = chooseStoreReaders([hostId, ...live.keys()]).has(hostId);
    if (last !== undefined && last.isReader !== isReader)
      logger.info('store readers changed', { isReader, liveHosts: live.size + 1 });
    last = { live, isReader };
    return isReader;
  };
}
