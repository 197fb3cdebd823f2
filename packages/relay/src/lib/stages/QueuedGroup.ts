import type { Failure } from '@endiveferry/base';
import type { Result } from 'neverthrow';

import type { PieceResult } from './PieceDispatcher.js';
import type { PieceGroup, WaitingGroup } from './WaitingGroup.js';

/** State of a piece group in a dispatcher, from its arrival until it is settled. @internal */
export interface QueuedGroup extends WaitingGroup {
  pieces: number[];
  /**
   * Number of attempts of each piece, by piece index. Calls that the replica did not start are not
   * counted.
   */
  readonly attempts: number[];
  readonly results: (PieceResult | undefined)[];
  missingCount: number;
  isSettled: boolean;
  /** Indexes of pieces whose replicas have fetched their inputs. */
  readonly fetched: Set<number>;
  /**
   * Whether `onInputsFetched` was called. The inputs may have been freed, so that a piece that fails
   * afterwards cannot run again.
   */
  hasReportedFetched: boolean;
  /** Called once, when the inputs of all pieces have been fetched. */
  readonly onInputsFetched: () => void;
  readonly onSettled: (result: Result<readonly PieceResult[], Failure>) => void;
}

/**
 * Creates the queue entry of a group whose pieces are all waiting.
 *
 * @param group - the group
 * @param arrivedAt - monotonic arrival time, in milliseconds
 * @param onSettled - called once with the outcome of the group
 * @param onInputsFetched - called once when all inputs have been fetched
 * @returns the entry
 * @internal
 */
export function createQueuedGroup(
  group: PieceGroup,
  arrivedAt: number,
  onSettled: QueuedGroup['onSettled'],
  onInputsFetched: () => void,
): QueuedGroup {
  return {
    group,
    arrivedAt,
    pieces: Array.from({ length: group.pieceCount }, (_, index) => index),
    attempts: [],
    results: Array.from({ length: group.pieceCount }, () => undefined),
    missingCount: group.pieceCount,
    isSettled: false,
    fetched: new Set(),
    hasReportedFetched: false,
    onInputsFetched,
    onSettled,
  };
}
