import { createRefusal, type Clock, type Failure, type PoolId } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { BatchPart } from './chooseBatch.js';
import type { PieceResult } from './PieceDispatcher.js';
import type { QueuedGroup } from './QueuedGroup.js';

/** Calls that one piece may be in before its request fails; a piece may be made again. */
const MAX_PIECE_CALLS = 3;

/** One piece of a call. @internal */
export interface CallSlot {
  readonly entry: QueuedGroup;
  readonly pieceIndex: number;
}

/**
 * The groups of a dispatcher, with what has become of each of their pieces.
 *
 * @internal
 */
export interface GroupQueue {
  add(entry: QueuedGroup): void;
  /** Settles a group; later news of its pieces changes nothing. */
  end(entry: QueuedGroup, result: Result<readonly PieceResult[], Failure>): void;
  /** All groups that are not settled. */
  readonly listGroups: () => readonly QueuedGroup[];
  /** Groups with pieces that are in no call. */
  readonly listWaiting: () => readonly QueuedGroup[];
  /** Pieces that are in no call. */
  readonly countWaiting: () => number;
  /** Takes the pieces of a call out of those that wait. */
  takePieces(parts: readonly BatchPart<QueuedGroup>[]): readonly CallSlot[];
  /** Notes pieces whose inputs their replica does not need any more. */
  noteFetched(slots: readonly CallSlot[]): void;
  /** Takes a result; `false` when nobody needs it any more. */
  takeResult(slot: CallSlot, result: PieceResult): boolean;
  /** Lets a piece wait again; one that a replica refused to start may go as often as needed. */
  requeue(slot: CallSlot, wasRefused: boolean): void;
  /** Settles groups whose time is over, and those of which nothing was done that are refused. */
  dropExpired(findRefusal: (entry: QueuedGroup) => Failure | undefined): void;
}

/** Options of the queue. @internal */
export interface GroupQueueOptions {
  readonly poolId: PoolId;
  readonly clock: Clock;
  /** Asked before pieces are sent once more. */
  readonly mayRetry: () => boolean;
  /** Gives up results of a group that failed. */
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

  const listMade = ({ results }: QueuedGroup) => results.filter((made) => made !== undefined);

  function end(entry: QueuedGroup, result: Result<readonly PieceResult[], Failure>): void {
    if (entry.isEnded) return;
    entry.isEnded = true;
    groups.delete(entry);
    if (result.isErr()) options.free(listMade(entry));
    entry.settle(result);
  }

  return {
    add: (entry) => void groups.add(entry),
    end,
    listGroups: () => [...groups],
    listWaiting: () => [...groups].filter(({ pieces }) => pieces.length > 0),
    countWaiting: () => [...groups].reduce((sum, { pieces }) => sum + pieces.length, 0),
    takePieces(parts) {
      for (const { waiting: entry, pieces } of parts) {
        const taken = new Set(pieces);
        entry.pieces = entry.pieces.filter((piece) => !taken.has(piece));
        for (const piece of pieces) entry.calls[piece] = (entry.calls[piece] ?? 0) + 1;
      }
      return parts.flatMap(({ waiting: entry, pieces }) =>
        pieces.map((pieceIndex) => ({ entry, pieceIndex })),
      );
    },
    noteFetched(slots) {
      for (const { entry, pieceIndex } of slots) {
        if (entry.isEnded || entry.fetched.has(pieceIndex)) continue;
        entry.fetched.add(pieceIndex);
        if (entry.hasToldFetched || entry.fetched.size < entry.group.pieceCount) continue;
        entry.hasToldFetched = true;
        entry.noteInputsFetched();
      }
    },
    takeResult({ entry, pieceIndex }, result) {
      if (entry.isEnded || entry.results[pieceIndex] !== undefined) return false;
      entry.results[pieceIndex] = result;
      entry.missing -= 1;
      if (entry.missing === 0) end(entry, ok(listMade(entry)));
      return true;
    },
    requeue({ entry, pieceIndex }, wasRefused) {
      if (entry.isEnded) return;
      entry.fetched.delete(pieceIndex);
      if (wasRefused) entry.calls[pieceIndex] = (entry.calls[pieceIndex] ?? 1) - 1;
      const mayRun =
        wasRefused || ((entry.calls[pieceIndex] ?? 0) < MAX_PIECE_CALLS && options.mayRetry());
      if (mayRun) entry.pieces.push(pieceIndex);
      else end(entry, err(createRefusal('server-error', `replicas of ${poolId} made no result`)));
    },
    dropExpired(findRefusal) {
      for (const entry of groups) {
        const refusal = entry.calls.length === 0 ? findRefusal(entry) : undefined;
        if (refusal !== undefined) end(entry, err(refusal));
        if (entry.pieces.length === 0 || entry.group.endAt > clock.now()) continue;
        end(
          entry,
          err(createRefusal('deadline-exceeded', `no replica of ${poolId} was free in time`)),
        );
      }
    },
  };
}
