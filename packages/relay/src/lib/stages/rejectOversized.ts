import { createNotRunFailure, type Failure } from '@endiveferry/base';

import type { StageCapacity } from '../RelayConfiguration.js';
import type { PieceGroup } from './WaitingGroup.js';

/** Replicas differ in speed; a fast one may take this share of the configured time. */
const FASTEST_TIME_SHARE = 0.5;

/** The replicas of a pool, as far as they limit what one group may ask for. @internal */
export interface PoolSize {
  /** Undefined while it is not known. */
  readonly capacity: StageCapacity | undefined;
  readonly replicaCount: number;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
}

/**
 * Rejects a group that its pool could not complete even if it ran nothing else: whose results do not
 * fit in the memory of its replicas, or whose pieces take longer than the time that is left. The
 * number of pieces comes from a caller, and queueing takes memory for each.
 *
 * @param group - the group
 * @param pool - see {@link PoolSize}
 * @returns the rejection; undefined when the pool may complete the group
 * @internal
 */
export function rejectOversized(
  { pieceCount, resultBytes, endAt }: Pick<PieceGroup, 'pieceCount' | 'resultBytes' | 'endAt'>,
  { capacity, replicaCount, now }: PoolSize,
): Failure | undefined {
  if (capacity === undefined) return undefined;
  // While none is listed, one may appear.
  const count = Math.max(1, replicaCount);
  const { slots, batch, callMs, pieceMs, resultMemoryBytes } = capacity;
  const callCount = Math.ceil(pieceCount / batch);
  const workMs = callCount * callMs + pieceCount * pieceMs;
  const leastMs = (workMs / (count * slots)) * FASTEST_TIME_SHARE;
  const described = `a stage of ${pieceCount} pieces is more than ${count} servers of its pool`;
  if (pieceCount * resultBytes > count * resultMemoryBytes)
    return createNotRunFailure('too-large', `${described} have memory for`);
  if (now + leastMs <= endAt) return undefined;
  const leftMs = Math.max(0, Math.round(endAt - now));
  return createNotRunFailure('deadline-exceeded', `${described} can complete in ${leftMs} ms`);
}
