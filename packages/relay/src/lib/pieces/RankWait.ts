import type { PoolId } from '@endiveferry/base';
import { z } from 'zod';

import type { StageCapacity } from '../RelayConfiguration.js';
import { estimateCallMs } from './estimateCallMs.js';
import type { WaitingGroup } from './WaitingGroup.js';

/** Schema of {@link RankWait}. @internal */
export const rankWaitSchema = z.object({
  rank: z.int(),
  /** Duration of the queued work of this rank and all more urgent ones, in milliseconds. */
  waitMs: z.number(),
});

/** Expected waiting time of a rank at a dispatcher, where more urgent work goes first. @public */
export type RankWait = z.infer<typeof rankWaitSchema>;

/**
 * Estimates the waiting time of a rank at a pool, in milliseconds; rank Infinity covers all queued
 * work.
 *
 * @public
 */
export type EstimateWaitMs = (poolId: PoolId, rank: number) => number;

/**
 * Finds the waiting time of a rank.
 *
 * @param waits - the waiting times by rank, most urgent first
 * @param rank - the rank
 * @returns the waiting time, in milliseconds; 0 when no work of that rank or a more urgent one is
 * queued
 * @public
 */
export function findWaitMs(waits: readonly RankWait[], rank: number): number {
  return waits.findLast((wait) => wait.rank <= rank)?.waitMs ?? 0;
}

/**
 * Computes the waiting times of newly arriving groups, assuming full calls.
 *
 * @param waiting - the waiting groups
 * @param capacity - the pool's configured capacity
 * @param replicaCount - number of replicas in use
 * @returns the waiting times by rank, most urgent first
 * @internal
 */
export function computeWaits(
  waiting: readonly WaitingGroup[],
  capacity: StageCapacity,
  replicaCount: number,
): RankWait[] {
  const callMs = estimateCallMs(capacity, capacity.batch, 1);
  const pieceMs = callMs / capacity.batch / Math.max(1, replicaCount);
  const counts = new Map<number, number>();
  for (const { group, pieces } of waiting) {
    if (pieces.length === 0) continue;
    counts.set(group.rank, (counts.get(group.rank) ?? 0) + pieces.length);
  }
  let waitMs = 0;
  return [...counts]
    .sort(([first], [second]) => first - second)
    .map(([rank, count]) => {
      waitMs += count * pieceMs;
      return { rank, waitMs };
    });
}
