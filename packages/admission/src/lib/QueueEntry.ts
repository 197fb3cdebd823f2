import type { Failure, RankId, WorkspaceId } from '@endiveferry/base';

/**
 * A request for a slot of a pool, made for one call.
 *
 * @public
 */
export interface QueueRequest {
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  /** Expected service time, in milliseconds. */
  readonly costMs: number;
  /** Latest start that can still meet the deadline, in milliseconds of monotonic time. */
  readonly latestStartAt: number;
  /** Removes the call from the queue when aborted. */
  readonly signal?: AbortSignal;
}

/**
 * A queued call.
 *
 * @internal
 */
export interface QueueEntry extends QueueRequest {
  readonly enqueuedAt: number;
  /** False once the call is started, rejected or cancelled. */
  isWaiting: boolean;
  readonly start: () => void;
  readonly reject: (failure: Failure) => void;
}
