import type { PoolId } from '@endiveferry/base';

import { estimateSoloMs } from './pieces/estimateCallMs.js';
import type { RelayPool, Route } from './RelayConfiguration.js';

/** Time of a hop to a dispatcher and a replica and back, in milliseconds; zones lie a few apart. */
const HOP_MS = 12;

/**
 * Estimates how long after the end of each stage the request's first event comes.
 *
 * @param route - the request's route
 * @param pieceCounts - pieces of each stage
 * @param pools - figures of the stages' pools
 * @param firstEventMs - time from the last stage to the first event, in milliseconds
 * @returns one time for each stage, in milliseconds
 * @public
 */
export function estimateRemainingTimes(
  route: Route,
  pieceCounts: readonly number[],
  pools: ReadonlyMap<PoolId, RelayPool>,
  firstEventMs: number,
): readonly number[] {
  const tails: number[] = route.stages.map(() => firstEventMs);
  // Later stages may name earlier ones only, so their tails are known first.
  for (let index = route.stages.length - 1; index >= 0; index -= 1) {
    const stage = route.stages[index];
    const capacity = stage === undefined ? undefined : pools.get(stage.poolId)?.stage;
    const count = pieceCounts[index] ?? 0;
    if (stage === undefined || capacity === undefined || count === 0) continue;
    const calls = Math.ceil(count / capacity.batch);
    const ownMs = estimateSoloMs(capacity, count, 1) * calls + HOP_MS;
    const beforeMs = (tails[index] ?? firstEventMs) + ownMs;
    for (const earlier of stage.after) tails[earlier] = Math.max(tails[earlier] ?? 0, beforeMs);
  }
  return tails;
}
