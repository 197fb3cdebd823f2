import type { PoolId } from '@endiveferry/base';

/** Weight of the latest call in the moving average of a pool's call durations. */
const DURATION_WEIGHT = 0.02;

/** Average durations of the calls to plain services, by pool. @internal */
export interface PoolDurations {
  /** Records a call that a server has answered without queueing. */
  record(poolId: PoolId, durationMs: number): void;
  /** Returns the average over all servers of the pool, in milliseconds; undefined without calls. */
  find(poolId: PoolId): number | undefined;
}

/**
 * Creates the averages, without calls yet. They are what the calls of a single server are compared
 * with, because no configuration states how long a call to a plain service takes.
 *
 * @returns the averages
 * @internal
 */
export function createPoolDurations(): PoolDurations {
  const averages = new Map<PoolId, number>();
  return {
    record(poolId, durationMs) {
      const known = averages.get(poolId) ?? durationMs;
      averages.set(poolId, known + DURATION_WEIGHT * (durationMs - known));
    },
    find: (poolId) => averages.get(poolId),
  };
}
