import type { PoolId } from '@endiveferry/base';

import type { ListedServer } from '../RelayConfiguration.js';

/**
 * Groups servers by their pools.
 *
 * @param entries - the servers, with any state
 * @returns the servers of each pool, in the given order
 * @internal
 */
export function groupByPool<Entry extends { readonly server: Pick<ListedServer, 'poolId'> }>(
  entries: readonly Entry[],
): ReadonlyMap<PoolId, readonly Entry[]> {
  const groups = new Map<PoolId, Entry[]>();
  for (const entry of entries) {
    const group = groups.get(entry.server.poolId);
    if (group === undefined) groups.set(entry.server.poolId, [entry]);
    else group.push(entry);
  }
  return groups;
}
