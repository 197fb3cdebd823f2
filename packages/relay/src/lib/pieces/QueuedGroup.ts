import type { Failure } from '@endiveferry/base';
import type { Result } from 'neverthrow';

import type { PieceResult } from './PieceDispatcher.js';
import type { PieceGroup, WaitingGroup } from './WaitingGroup.js';

/** A group in a dispatcher, from its arrival until it is settled. @internal */
export interface QueuedGroup extends WaitingGroup {
  pieces: number[];
  readonly calls: number[];
  readonly results: (PieceResult | undefined)[];
  missing: number;
  isEnded: boolean;
  /** Pieces whose replicas have fetched their inputs. */
  readonly fetched: Set<number>;
  /** Whether that was told; a piece that fails afterwards may fetch them again, or find them gone. */
  hasToldFetched: boolean;
  /** Told once, when all pieces' inputs were fetched. */
  readonly noteInputsFetched: () => void;
  readonly settle: (result: Result<readonly PieceResult[], Failure>) => void;
}

/**
 * Creates the entry of a group of which nothing has been done.
 *
 * @param group - the group
 * @param arrivedAt - monotonic time, in milliseconds
 * @param settle - told once how the group ended
 * @param noteInputsFetched - told once when all inputs were fetched
 * @returns the entry
 * @internal
 */
export function createQueuedGroup(
  group: PieceGroup,
  arrivedAt: number,
  settle: QueuedGroup['settle'],
  noteInputsFetched: () => void,
): QueuedGroup {
  return {
    group,
    arrivedAt,
    pieces: Array.from({ length: group.pieceCount }, (_, index) => index),
    calls: [],
    results: Array.from({ length: group.pieceCount }, () => undefined),
    missing: group.pieceCount,
    isEnded: false,
    fetched: new Set(),
    hasToldFetched: false,
    noteInputsFetched,
    settle,
  };
}
