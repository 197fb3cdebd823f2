import { computeHash, type BackendServerId, type HostId } from '@endiveferry/base';

/** Mixes two hashes into a score; a full avalanche, so that neither side's order shows. */
function mixHashes(first: number, second: number): number {
  let mixed = Math.imul(first ^ second, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

function countBetter(scores: readonly number[], own: number, enough: number): number {
  let count = 0;
  for (const score of scores) {
    if (score > own) count += 1;
    if (count >= enough) break;
  }
  return count;
}

/**
 * Chooses the backend servers that a host talks to. Each server is covered by the same number of
 * hosts, the first of its own rendezvous order, so that a change of either list moves little.
 *
 * @param hostId - the host to choose for
 * @param hosts - all live hosts, this one included
 * @param servers - all backend servers of the pool
 * @param size - how many servers a host should talk to on average
 * @returns the servers; all of them when they are no more than `size`
 * @public
 */
export function chooseSubset(
  hostId: HostId,
  hosts: readonly HostId[],
  servers: readonly BackendServerId[],
  size: number,
): readonly BackendServerId[] {
  if (servers.length <= size || hosts.length === 0) return servers;
  const hostsPerServer = Math.min(hosts.length, Math.ceil((size * hosts.length) / servers.length));
  const ownHash = computeHash(hostId);
  const otherHashes = hosts.filter((id) => id !== hostId).map((id) => computeHash(id));
  return servers.filter((serverId) => {
    const serverHash = computeHash(serverId, 1);
    const own = mixHashes(ownHash, serverHash);
    const scores = otherHashes.map((hash) => mixHashes(hash, serverHash));
    return countBetter(scores, own, hostsPerServer) < hostsPerServer;
  });
}
