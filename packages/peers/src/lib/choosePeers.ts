import { computeHash, type AvailabilityZoneId, type HostId } from '@endiveferry/base';

/** Largest fleet that forms a full mesh. */
const MAX_FULL_MESH_HOSTS = 9;

/**
 * Returns whether the hosts of a fleet form a full mesh.
 *
 * @param hostCount - number of hosts in the fleet
 * @returns whether every host keeps a link to every other host
 * @public
 */
export function isFullyLinked(hostCount: number): boolean {
  return hostCount <= MAX_FULL_MESH_HOSTS;
}

/**
 * Chooses the hosts that a host keeps links to. In a small fleet these are all other hosts; in a
 * larger one, the hosts at distances 1, 2, 4, ... on a ring of all hosts and the two neighbours in
 * its own availability zone. The number of links per host and the number of hops in which an update
 * reaches all hosts both grow with the logarithm of the fleet size.
 *
 * @param hostId - the host to choose peers for
 * @param hosts - all hosts including this one, with their availability zones
 * @returns ids of the chosen peers
 * @public
 */
export function choosePeers(
  hostId: HostId,
  hosts: ReadonlyMap<HostId, AvailabilityZoneId>,
): readonly HostId[] {
  const others = [...hosts.keys()].filter((id) => id !== hostId);
  if (isFullyLinked(hosts.size)) return others;
  const ring = sortByHash([...hosts.keys()]);
  const zone = hosts.get(hostId);
  const zoneRing = ring.filter((id) => hosts.get(id) === zone);
  const chosen = new Set<HostId>();
  const addNeighbour = (sorted: readonly HostId[], distance: number) => {
    const neighbour = sorted[(sorted.indexOf(hostId) + distance) % sorted.length];
    if (neighbour !== undefined && neighbour !== hostId) chosen.add(neighbour);
  };
  for (let distance = 1; distance < ring.length; distance *= 2) addNeighbour(ring, distance);
  addNeighbour(zoneRing, 1);
  addNeighbour(zoneRing, zoneRing.length - 1);
  return [...chosen];
}

/** Sorts hosts by the hash of their id, which spreads each availability zone around the ring. */
function sortByHash(ids: readonly HostId[]): HostId[] {
  return ids
    .map((id) => ({ id, hash: computeHash(id, 2) }))
    .sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
