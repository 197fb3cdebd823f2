import type { AvailabilityZoneId, PoolId, RequestId } from '@endiveferry/base';

/**
 * Pieces of one stage of one request, as the dispatcher of their pool sees them.
 *
 * @public
 */
export interface PieceGroup {
  readonly requestId: RequestId;
  readonly stageIndex: number;
  readonly pieceCount: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** What pieces of stages without inputs work on. */
  readonly key: string | undefined;
  /** Handles of all results that each piece needs. */
  readonly inputs: readonly string[] | undefined;
  /** Where most of the inputs lie, or where the results will be read; undefined when it is unknown. */
  readonly homeZone: AvailabilityZoneId | undefined;
  /** Bytes that cross availability zones when the pieces are made elsewhere. */
  readonly movedBytes: number;
  /** Monotonic time until which the inputs are kept, in milliseconds. */
  readonly inputsExpireAt: number;
  /** Nothing of the request has been worked on, so it can be refused for nothing. */
  readonly isEntry: boolean;
  /** Pools of the stages that follow. */
  readonly followers: readonly PoolId[];
  /** Approximate size of one result, in bytes. */
  readonly resultBytes: number;
  /** Monotonic time at which nobody wants the results any more, in milliseconds. */
  readonly endAt: number;
  /** Monotonic time by which the stage has to be done for the request to meet its target. */
  readonly targetEndAt: number;
}

/** A group that waits, with the pieces of it that are in no call. @public */
export interface WaitingGroup {
  readonly group: PieceGroup;
  readonly arrivedAt: number;
  /** Indexes of pieces that wait. */
  readonly pieces: readonly number[];
}
