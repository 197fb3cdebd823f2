import type { PoolId } from '@endiveferry/base';

import { estimateSoloMs } from './estimateCallMs.js';
import type { RelayPool, Route } from '../RelayConfiguration.js';

/**
 * Round trip to a dispatcher and a replica, in milliseconds; availability zones are a few
 * milliseconds apart.
 */
const DISPATCH_ROUND_TRIP_MS = 12;

/**
 * Estimates the remaining time from the end of each stage to the first event of the request.
 *
 * @param route - the request's route
 * @param pieceCounts - number of pieces of each stage
 * @param pools - configuration of the stages' pools
 * @param firstEventMs - time from the end of the last stage to the first event, in milliseconds
 * @returns the remaining time of each stage, in milliseconds
 * @public
 */
export function estimateRemainingTimes(
  route: Route,
  pieceCounts: readonly number[],
  pools: ReadonlyMap<PoolId, RelayPool>,
  firstEventMs: number,
): readonly number[] {
  const remainingTimes: number[] = route.stages.map(() => firstEventMs);
  // Stages depend on earlier ones only, so in reverse order all dependents are computed first.
  for (let index = route.stages.length - 1; index >= 0; index -= 1) {
    const stage = route.stages[index];
    const capacity = stage === undefined ? undefined : pools.get(stage.poolId)?.stage;
    const pieceCount = pieceCounts[index] ?? 0;
    if (stage === undefined || capacity === undefined || pieceCount === 0) continue;
    const callCount = Math.ceil(pieceCount / capacity.batch);
    const stageMs = estimateSoloMs(capacity, pieceCount, 1) * callCount + DISPATCH_ROUND_TRIP_MS;
    const remainingMs = (remainingTimes[index] ?? firstEventMs) + stageMs;
    for (const inputStage of stage.after)
      remainingTimes[inputStage] = Math.max(remainingTimes[inputStage] ?? 0, remainingMs);
  }
  return remainingTimes;
}
