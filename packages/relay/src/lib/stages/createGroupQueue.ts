import { createNotRunFailure, type Clock, type Failure, type PoolId } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { BatchPart } from './chooseBatch.js';
import type { PieceResult } from './PieceDispatcher.js';
import type { QueuedGroup } from './QueuedGroup.js';

/** Maximum number of calls that may run a piece; running a piece again is safe. */
const MAX_PIECE_ATTEMPTS = 3;

/** A piece that is part of a call. @internal */
export interface CallSlot {
  readonly entry: QueuedGroup;
  readonly pieceIndex: number;
}

/**
 * Queue of the piece groups of a dispatcher. It tracks the progress of each piece.
 *
 * @internal
 */
export interface GroupQueue {
  add(entry: QueuedGroup): void;
  /** Settles a group and ignores later updates of its pieces. */
  settle(entry: QueuedGroup, result: Result<readonly PieceResult[], Failure>): void;
  /** Counts all unsettled groups. */
  readonly countGroups: () => number;
  /** Lists all unsettled groups. */
  readonly listGroups: () => readonly QueuedGroup[];
  /** Lists the groups with pieces that are not in a call. */
  readonly listWaiting: () => readonly QueuedGroup[];
  /** Counts the pieces that are not in a call. */
  readonly countWaiting: () => number;
  /** Removes the pieces of a call from the waiting ones and counts the attempt. */
  dequeuePieces(parts: readonly BatchPart<QueuedGroup>[]): readonly CallSlot[];
  /** Records pieces whose inputs have been fetched by their replica. */
  recordFetched(slots: readonly CallSlot[]): void;
  /** Records the result of a piece; returns `false` if it is not needed any more. */
  recordResult(slot: CallSlot, result: PieceResult): boolean;
  /**
   * Returns a piece to the queue, or settles its group with a failure if it may not be retried. A
   * call that the replica did not start is not counted as an attempt. A group whose inputs have been
   * reported as fetched is settled, so that its stages run again.
   */
  requeue(slot: CallSlot, wasNotStarted: boolean): void;
  /** Rejects all groups with pieces that are not in a call. */
  rejectWaiting(rejection: Failure): void;
  /**
   * Settles groups whose deadline has passed or whose inputs have expired, and those not yet started
   * that are now rejected.
   */
  settleExpired(findRejection: (entry: QueuedGroup) => Failure | undefined): void;
}

/** Options of the queue. @internal */
export interface GroupQueueOptions {
  readonly poolId: PoolId;
  readonly clock: Clock;
  /** Withdraws a retry from the retry budget; returns false when the budget is spent. */
  readonly tryWithdrawRetry: () => boolean;
  /** Frees the results of a group that failed. */
  readonly free: (results: readonly PieceResult[]) => void;
}

/**
 * Creates an empty queue.
 *
 * @param options - see {@link GroupQueueOptions}
 * @returns the queue
 * @internal
 */
export function createGroupQueue(options: GroupQueueOptions): GroupQueue {
  const { poolId, clock } = options;
  const groups = new Set<QueuedGroup>();

  const listResults = ({ results }: QueuedGroup) =>
    results.filter((result) => result !== undefined);

  function settle(entry: QueuedGroup, result: Result<readonly PieceResult[], Failure>): void {
    if (entry.isSettled) return;
    entry.isSettled = true;
    groups.delete(entry);
    if (result.isErr()) options.free(listResults(entry));
    entry.onSettled(result);
  }

  const settleLost = (entry: QueuedGroup, detail: string) =>
    settle(
      entry,
      err(createNotRunFailure('input-lost', `inputs of a stage in pool ${poolId} ${detail}`)),
    );

  return {
    add: (entry) => void groups.add(entry),
    settle,
    countGroups: () => groups.size,
    listGroups: () => [...groups],
    listWaiting: () => [...groups].filter(({ pieces }) => pieces.length > 0),
    countWaiting: () => [...groups].reduce((sum, { pieces }) => sum + pieces.length, 0),
    dequeuePieces(parts) {
      for (const { entry, pieces } of parts) {
        const dequeued = new Set(pieces);
        entry.pieces = entry.pieces.filter((piece) => !dequeued.has(piece));
        for (const piece of pieces) entry.attempts[piece] = (entry.attempts[piece] ?? 0) + 1;
      }
      return parts.flatMap(({ entry, pieces }) =>
        pieces.map((pieceIndex) => ({ entry, pieceIndex })),
      );
    },
    recordFetched(slots) {
      for (const { entry, pieceIndex } of slots) {
        if (entry.isSettled || entry.fetched.has(pieceIndex)) continue;
        entry.fetched.add(pieceIndex);
        if (entry.hasReportedFetched || entry.fetched.size < entry.group.pieceCount) continue;
        entry.hasReportedFetched = true;
        entry.onInputsFetched();
      }
    },
    recordResult({ entry, pieceIndex }, result) {
      if (entry.isSettled || entry.results[pieceIndex] !== undefined) return false;
      entry.results[pieceIndex] = result;
      entry.missingCount -= 1;
      if (entry.missingCount === 0) settle(entry, ok(listResults(entry)));
      return true;
    },
    requeue({ entry, pieceIndex }, wasNotStarted) {
      if (entry.isSettled) return;
      // Its host has freed the inputs, so that replicas would only refuse the piece.
      if (entry.hasReportedFetched && entry.group.inputs !== undefined) {
        settleLost(entry, 'were freed before all pieces had run');
        return;
      }
      entry.fetched.delete(pieceIndex);
      if (wasNotStarted) entry.attempts[pieceIndex] = (entry.attempts[pieceIndex] ?? 1) - 1;
      const mayRun =
        wasNotStarted ||
        ((entry.attempts[pieceIndex] ?? 0) < MAX_PIECE_ATTEMPTS && options.tryWithdrawRetry());
      if (mayRun) entry.pieces.push(pieceIndex);
      else
        settle(
          entry,
          err(createNotRunFailure('server-error', `replicas of pool ${poolId} returned no result`)),
        );
    },
    rejectWaiting(rejection) {
      for (const entry of groups) if (entry.pieces.length > 0) settle(entry, err(rejection));
    },
    settleExpired(findRejection) {
      for (const entry of groups) {
        const rejection = entry.attempts.length === 0 ? findRejection(entry) : undefined;
        if (rejection !== undefined) settle(entry, err(rejection));
        if (entry.pieces.length === 0) continue;
        if (entry.group.endAt <= clock.now()) {
          const detail = `no replica of pool ${poolId} became free before the deadline`;
          settle(entry, err(createNotRunFailure('deadline-exceeded', detail)));
        } else if (entry.group.inputsExpireAt <= clock.now()) {
          settleLost(entry, 'expired while they waited');
        }
      }
    },
  };
}
