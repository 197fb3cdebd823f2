import type { Failure, RankId, WorkspaceId } from '@endiveferry/base';

/**
 * One call that waits for a slot of a pool.
 *
 * @public
 */
export interface QueueRequest {
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  /** The service time it is expected to take, in milliseconds. */
  readonly costMs: number;
  /** The monotonic time after which starting it makes no sense, in milliseconds. */
  readonly latestStartAt: number;
  /** Takes it out of the queue when aborted. */
  readonly signal?: AbortSignal;
}

/**
 * A waiting call inside a queue.
 *
 * @internal
 */
export interface QueueEntry extends QueueRequest {
  readonly enqueuedAt: number;
  isWaiting: boolean;
  readonly start: () => void;
  readonly refuse: (failure: Failure) => void;
}
