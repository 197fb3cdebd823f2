import type { EstimateWaitMs } from '../RankWait.js';

/**
 * Memoizes waiting time estimates for the duration of one scheduling decision, which needs the same
 * estimates for many groups.
 *
 * @param estimateWaitMs - computes the estimates
 * @returns a function with the same results that computes each estimate once
 * @internal
 */
export function createWaitMemo(estimateWaitMs: EstimateWaitMs): EstimateWaitMs {
  const memo = new Map<string, number>();
  return (poolId, rank) => {
    const key = `${rank}/${poolId}`;
    const waitMs = memo.get(key) ?? estimateWaitMs(poolId, rank);
    memo.set(key, waitMs);
    return waitMs;
  };
}
