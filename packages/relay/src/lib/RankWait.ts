import type { PoolId } from '@endiveferry/base';
import { z } from 'zod';

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
