import type { BackendServerId, Clock } from '@endiveferry/base';
import type { Fleet } from '@endiveferry/relay';

/**
 * Time for which a sum is used, in milliseconds. One decision asks for every engine, and heartbeats
 * that bring new figures are a second apart.
 */
const SUM_VALID_MS = 20;

/** Options of {@link createPendingTokens}. @internal */
export interface PendingTokensOptions {
  readonly clock: Clock;
  readonly listHeartbeats: Fleet['listHeartbeats'];
}

/**
 * Creates the sums of the unread prompt tokens of other hosts' requests.
 *
 * @param options - see {@link PendingTokensOptions}
 * @returns a function that returns the number of tokens at an engine
 * @internal
 */
export function createPendingTokens(
  options: PendingTokensOptions,
): (serverId: BackendServerId) => number {
  const { clock, listHeartbeats } = options;
  let sums: ReadonlyMap<BackendServerId, number> = new Map();
  let summedAt = -Infinity;

  function sumTokens(): ReadonlyMap<BackendServerId, number> {
    const tokensById = new Map<BackendServerId, number>();
    for (const { pending } of listHeartbeats())
      for (const { serverId, tokens } of pending)
        tokensById.set(serverId, (tokensById.get(serverId) ?? 0) + tokens);
    return tokensById;
  }

  return (serverId) => {
    if (clock.now() - summedAt > SUM_VALID_MS) {
      sums = sumTokens();
      summedAt = clock.now();
    }
    return sums.get(serverId) ?? 0;
  };
}
