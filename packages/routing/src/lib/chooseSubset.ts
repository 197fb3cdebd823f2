import { computeHash, type BackendServerId, type HostId } from '@endiveferry/base';

/** Mixes two hashes into a score; full avalanche keeps it from following the order of either. */
function mixHashes(first: number, second: number): number {
  let mixed = Math.imul(first ^ second, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

function countHigherScores(scores: readonly number[], ownScore: number, limit: number): number {
  let count = 0;
  for (const score of scores) {
    if (score > ownScore) count += 1;
    if (count >= limit) break;
  }
  return count;
}

/**
 * Chooses the backend servers that a host sends calls to. Each server is assigned the same number
 * of hosts, the first in its rendezvous order, so that a change of either list moves few of them.
 *
 * @param hostId - the host to choose for
 * @param hosts - all live hosts, this one included
 * @param servers - all backend servers of the pool
 * @param size - average number of servers per host
 * @returns the chosen servers; all servers if there are at most `size`
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
    const ownScore = mixHashes(ownHash, serverHash);
    const scores = otherHashes.map((hash) => mixHashes(hash, serverHash));
    return countHigherScores(scores, ownScore, hostsPerServer) < hostsPerServer;
  });
}
