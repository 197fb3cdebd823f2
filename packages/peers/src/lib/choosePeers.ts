import { computeHash, type AvailabilityZoneId, type HostId } from '@endiveferry/base';

/** Fleets up to this size are linked fully. */
const FULL_MESH_HOSTS = 9;

/**
 * Tells whether all hosts of a fleet are linked with each other.
 *
 * @param hostCount - the size of the fleet
 * @returns whether links are full
 * @public
 */
export function isFullyLinked(hostCount: number): boolean {
  return hostCount <= FULL_MESH_HOSTS;
}

/**
 * Chooses the hosts that a host keeps links to: all of a small fleet, else those at doubling
 * distances on a ring of all hosts, and its two neighbours in its own availability zone. Links per
 * host grow with the logarithm of the fleet, and news needs as many steps to reach everyone.
 *
 * @param hostId - the host to choose for
 * @param hosts - all hosts, this one included, with their availability zones
 * @returns the hosts to link to
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
  const addNeighbour = (list: readonly HostId[], distance: number) => {
    const neighbour = list[(list.indexOf(hostId) + distance) % list.length];
    if (neighbour !== undefined && neighbour !== hostId) chosen.add(neighbour);
  };
  for (let distance = 1; distance < ring.length; distance *= 2) addNeighbour(ring, distance);
  addNeighbour(zoneRing, 1);
  addNeighbour(zoneRing, zoneRing.length - 1);
  return [...chosen];
}

/** A hashed order spreads each availability zone around the ring. */
function sortByHash(ids: readonly HostId[]): HostId[] {
  return ids
    .map((id) => ({ id, hash: computeHash(id, 2) }))
    .sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
