import { computeHash, type BackendServerId, type HostId } from '@endiveferry/base';

/** Sorts ids by hash: the order is the same on every host and independent of naming schemes. */
function sortByHash<Id extends string>(ids: readonly Id[]): Id[] {
  return ids
    .map((id) => ({ id, hash: computeHash(id, 3) }))
    .sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** Lists all slots of a pool round-robin, so that adjacent slots belong to different servers. */
function listSlots(servers: readonly BackendServerId[], concurrency: number): BackendServerId[] {
  const ordered = sortByHash(servers);
  return Array.from({ length: concurrency }, () => ordered).flat();
}

/**
 * Computes which slots of a pool are a host's own. Hosts that prefer their own slots do not collide
 * on a server, however old its load report is. Each slot belongs to one host, and all hosts with
 * the same shares compute the same assignment.
 *
 * @param hostId - the host to compute for
 * @param shares - number of slots of each host; scaled to fill the pool
 * @param servers - the backend servers of the pool that accept calls
 * @param concurrency - number of calls that one server runs concurrently
 * @returns the number of own slots by server, without servers that have none
 * @public
 */
export function computeOwnSlots(
  hostId: HostId,
  shares: ReadonlyMap<HostId, number>,
  servers: readonly BackendServerId[],
  concurrency: number,
): ReadonlyMap<BackendServerId, number> {
  const slots = listSlots(servers, concurrency);
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
