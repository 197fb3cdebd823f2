import { createNotRunFailure, type Failure } from '@endiveferry/base';

import { findWaitMs, type EstimateWaitMs, type RankWait } from '../RankWait.js';
import type { PieceGroup } from './WaitingGroup.js';

/** Queued work, in milliseconds, below which misses are due to chance and nothing is rejected. */
const MIN_WAIT_MS = 300;
/** Minimum time after which a rejected caller may retry, in milliseconds. */
const MIN_RETRY_MS = 300;

/** State of the queues by which the rejection of a request is decided. @public */
export interface QueueState {
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  /** Expected duration of a call that contains only the group, in milliseconds. */
  readonly soloMs: number;
  /** Waiting times at the group's own pool. */
  readonly waits: readonly RankWait[];
  /** Estimates the waiting time of a rank at another pool, in milliseconds. */
  readonly estimateWaitMs: EstimateWaitMs;
}

/**
 * Rejects a request, before any work is done for it, if it cannot meet its target. This is meant
 * for overload, where requests that wait until they are late take capacity from others and are of
 * little use themselves. The caller learns at once that nothing ran, and when to retry.
 *
 * @param group - the group of the request's first stage
 * @param queueState - see {@link QueueState}
 * @returns the rejection; undefined when the request may wait
 * @public
 */
export function rejectUnattainable(group: PieceGroup, queueState: QueueState): Failure | undefined {
  if (!group.isEntry) return undefined;
  const sumWaits = (rank: number) =>
    group.followers.reduce(
      (sum, poolId) => sum + queueState.estimateWaitMs(poolId, rank),
      findWaitMs(queueState.waits, rank),
    );
  const waitMs = sumWaits(group.rank);
  const isLate = queueState.now + waitMs + queueState.soloMs > group.targetEndAt;
  if (!isLate || waitMs < MIN_WAIT_MS) return undefined;
  const retryAfterMs = Math.max(MIN_RETRY_MS, sumWaits(Infinity));
  const remainingMs = Math.round(group.targetEndAt - queueState.now);
  return createNotRunFailure(
    'overloaded',
    `${Math.round(waitMs)} ms of work is queued ahead of the request; its first stage is due in ${remainingMs} ms`,
    retryAfterMs,
  );
}
