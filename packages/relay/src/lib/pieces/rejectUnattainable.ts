import { createRefusal, type Failure } from '@endiveferry/base';

import { findWaitMs, type EstimateWaitMs, type RankWait } from './RankWait.js';
import type { PieceGroup } from './WaitingGroup.js';

/** Work that waits, in milliseconds, below which nothing is refused: targets are missed by chance then. */
const MIN_WAIT_MS = 300;
/** Shortest time after which a refused caller may come back, in milliseconds. */
const MIN_RETRY_MS = 300;

/** What a refusal is decided by. @public */
export interface QueueEstimates {
  readonly now: number;
  /** Time of a call for the group alone, in milliseconds. */
  readonly soloMs: number;
  /** Waits at the group's own pool. */
  readonly waits: readonly RankWait[];
  /** Time that work of a rank waits at another pool, in milliseconds; Infinity for all. */
  readonly estimateWaitMs: EstimateWaitMs;
}

/**
 * Decides whether a request that cannot meet its target is refused before anything of it is worked
 * on. The load that it answers: more requests than the stages can take, where those that wait until
 * they are late take calls from others and are worth little themselves. The caller learns at once
 * that nothing ran, and when there will be room.
 *
 * @param group - the request's first stage
 * @param choice - see {@link QueueEstimates}
 * @returns the refusal; undefined when the request may wait
 * @public
 */
export function rejectUnattainable(group: PieceGroup, choice: QueueEstimates): Failure | undefined {
  if (!group.isEntry) return undefined;
  const sumWaits = (rank: number) =>
    group.followers.reduce(
      (sum, poolId) => sum + choice.estimateWaitMs(poolId, rank),
      findWaitMs(choice.waits, rank),
    );
  const waitMs = sumWaits(group.rank);
  const isLate = choice.now + waitMs + choice.soloMs > group.targetEndAt;
  if (!isLate || waitMs < MIN_WAIT_MS) return undefined;
  const retryAfterMs = Math.max(MIN_RETRY_MS, sumWaits(Infinity));
  const leftMs = Math.round(group.targetEndAt - choice.now);
  return createRefusal(
    'overloaded',
    `${Math.round(waitMs)} ms of work waits before the first stage's end, due in ${leftMs} ms`,
    retryAfterMs,
  );
}
