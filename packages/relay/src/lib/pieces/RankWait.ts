import { z } from 'zod';

/** Validator of {@link RankWait}. @internal */
export const rankWaitSchema = z.object({
  rank: z.int(),
  /** Time that work of this rank and all more urgent ones takes, in milliseconds. */
  waitMs: z.number(),
});

/** How long work of a rank waits at a dispatcher, where more urgent work goes first. @public */
export type RankWait = z.infer<typeof rankWaitSchema>;

/**
 * Finds how long work of a rank waits.
 *
 * @param waits - the waiting times by rank, most urgent first
 * @param rank - the rank
 * @returns the time, in milliseconds; 0 when nothing of that rank or a more urgent one waits
 * @public
 */
export function findWaitMs(waits: readonly RankWait[], rank: number): number {
  return waits.findLast((wait) => wait.rank <= rank)?.waitMs ?? 0;
}
