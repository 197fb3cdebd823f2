import { computeHash, type BackendServerId, type HostId } from '@endiveferry/base';

/** Orders ids in a way that is the same on every host and follows no naming scheme. */
function sortByHash<Id extends string>(ids: readonly Id[]): Id[] {
  return ids
    .map((id) => ({ id, hash: computeHash(id, 3) }))
    .sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** Lays out all slots of a pool in rounds, so that neighbours belong to different servers. */
function layOutSlots(servers: readonly BackendServerId[], concurrency: number): BackendServerId[] {
  const ordered = sortByHash(servers);
  return Array.from({ length: concurrency }, () => ordered).flat();
}

/**
 * Computes which slots of a pool are a host's own. Hosts that prefer their own slots do not meet
 * at a server, however late its load report is. Each slot belongs to one host, and every host that
 * knows the same shares computes the same.
 *
 * @param hostId - the host to compute for
 * @param shares - the slots that each host is due; they are scaled to fill the pool
 * @param servers - the backend servers of the pool that take work
 * @param concurrency - calls that one server runs at once
 * @returns for each server on which the host has slots, how many
 * @public
 */
export function computeOwnSlots(
  hostId: HostId,
  shares: ReadonlyMap<HostId, number>,
  servers: readonly BackendServerId[],
  concurrency: number,
): ReadonlyMap<BackendServerId, number> {
  const slots = layOutSlots(servers, concurrency);
  const total = [...shares.values()].reduce((sum, share) => sum + share, 0);
  const own = new Map<BackendServerId, number>();
  let from = 0;
  for (const id of sortByHash([...shares.keys()])) {
    const to = from + ((shares.get(id) ?? 0) / total) * slots.length;
    if (id === hostId) {
      for (const serverId of slots.slice(Math.round(from), Math.round(to))) {
        own.set(serverId, (own.get(serverId) ?? 0) + 1);
      }
      return own;
    }
    from = to;
  }
  return own;
}
