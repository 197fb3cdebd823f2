import type { AvailabilityZoneId, PoolId, RequestId } from '@endiveferry/base';

/**
 * The pieces of a stage of a request, as submitted to the dispatcher of their pool.
 *
 * @public
 */
export interface PieceGroup {
  readonly requestId: RequestId;
  readonly stageIndex: number;
  readonly pieceCount: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Key of the work item; set for stages that read no results of other stages. */
  readonly key: string | undefined;
  /** Handles of the results that each piece reads. */
  readonly inputs: readonly string[] | undefined;
  /**
   * Availability zone that holds most of the inputs, or where the results will be read; undefined
   * when unknown.
   */
  readonly homeZone: AvailabilityZoneId | undefined;
  /** Bytes transferred between availability zones if the pieces run outside `homeZone`. */
  readonly movedBytes: number;
  /** Monotonic time at which the inputs expire, in milliseconds. */
  readonly inputsExpireAt: number;
  /** Whether no work has been done for the request yet, so that rejecting it wastes nothing. */
  readonly isEntry: boolean;
  /** Pools of the following stages. */
  readonly followers: readonly PoolId[];
  /** Approximate size of one result, in bytes. */
  readonly resultBytes: number;
  /** Monotonic time of the deadline, after which the results are useless, in milliseconds. */
  readonly endAt: number;
  /** Monotonic time by which the stage must end to meet the target latency, in milliseconds. */
  readonly targetEndAt: number;
}

/** A group with pieces that are not in a call yet. @public */
export interface WaitingGroup {
  readonly group: PieceGroup;
  /** Monotonic arrival time, in milliseconds. */
  readonly arrivedAt: number;
  /** Indexes of the waiting pieces. */
  readonly pieces: readonly number[];
}
