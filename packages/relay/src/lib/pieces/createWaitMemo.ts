import type { EstimateWaitMs } from './RankWait.js';

/**
 * Keeps estimates for the length of one decision, which asks for the same ones for many groups.
 *
 * @param estimateWaitMs - makes the estimates
 * @returns the same, each made once
 * @internal
 */
export function createWaitMemo(estimateWaitMs: EstimateWaitMs): EstimateWaitMs {
  const known = new Map<string, number>();
  return (poolId, rank) => {
    const key = `${rank}/${poolId}`;
    const waitMs = known.get(key) ?? estimateWaitMs(poolId, rank);
    known.set(key, waitMs);
    return waitMs;
  };
}
