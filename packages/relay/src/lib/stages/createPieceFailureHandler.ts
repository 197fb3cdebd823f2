import { createNotRunFailure, type PoolId } from '@endiveferry/base';
import { err } from 'neverthrow';

import type { RelayMetrics } from '../createRelayMetrics.js';
import type { PieceFailure, PieceOutcome } from '../ports.js';
import type { CallSlot, GroupQueue } from './createGroupQueue.js';
import type { ReplicaState } from './createReplicaStates.js';

/**
 * Returns whether a replica had no room for the result of a piece.
 *
 * @param outcome - the outcome of the piece
 * @returns whether the piece was refused
 * @internal
 */
export const isRefused = (outcome: PieceOutcome): boolean =>
  outcome.kind === 'failed' && outcome.reason === 'no-room';

/**
 * Creates the handler of pieces of which a replica returned no result.
 *
 * @param poolId - the pool of the replicas
 * @param queue - the dispatcher's queue
 * @param metrics - counts the failures
 * @returns the handler
 * @internal
 */
export function createPieceFailureHandler(
  poolId: PoolId,
  queue: Pick<GroupQueue, 'settle' | 'requeue'>,
  metrics: Pick<RelayMetrics, 'recordFailedPiece'>,
): (replica: ReplicaState, slot: CallSlot, reason: PieceFailure) => void {
  const settle = (
    { entry }: CallSlot,
    reason: 'deadline-exceeded' | 'input-lost',
    detail: string,
  ) => queue.settle(entry, err(createNotRunFailure(reason, detail)));

  const handlers: Record<PieceFailure, (replica: ReplicaState, slot: CallSlot) => void> = {
    late: (_replica, slot) =>
      settle(slot, 'deadline-exceeded', `a piece reached pool ${poolId} after its deadline`),
    'input-gone': (_replica, slot) =>
      settle(slot, 'input-lost', `an input of a piece in pool ${poolId} is no longer available`),
    'no-room': (replica, slot) => {
      replica.recordFull();
      queue.requeue(slot, true);
    },
    error: (_replica, slot) => queue.requeue(slot, false),
  };

  return (replica, slot, reason) => {
    metrics.recordFailedPiece(poolId, reason);
    handlers[reason](replica, slot);
  };
}
