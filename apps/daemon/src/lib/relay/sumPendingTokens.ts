import type { BackendServerId } from '@endiveferry/base';
import type { Fleet } from '@endiveferry/relay';

/**
 * Sums the unread prompt tokens of other hosts' requests at an engine.
 *
 * @param heartbeats - the last heartbeats of the other hosts
 * @param serverId - the engine
 * @returns the number of tokens
 * @internal
 */
export function sumPendingTokens(
  heartbeats: ReturnType<Fleet['listHeartbeats']>,
  serverId: BackendServerId,
): number {
  return heartbeats
    .flatMap(({ pending }) => pending)
    .reduce((sum, entry) => sum + (entry.serverId === serverId ? entry.tokens : 0), 0);
}
