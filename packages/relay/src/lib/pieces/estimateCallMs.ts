import type { StageCapacity } from '../RelayConfiguration.js';

/**
 * Estimates the time of a call.
 *
 * @param capacity - the pool's figures
 * @param pieceCount - pieces in the call
 * @param slowness - the replica's factor
 * @returns the time, in milliseconds
 * @public
 */
export function estimateCallMs(
  capacity: StageCapacity,
  pieceCount: number,
  slowness: number,
): number {
  return (capacity.callMs + pieceCount * capacity.pieceMs) * slowness;
}

/**
 * Estimates the time of a call for some pieces alone; where one call cannot hold them, of the first.
 *
 * @param capacity - the pool's figures
 * @param pieceCount - the pieces
 * @param slowness - the replica's factor
 * @returns the time, in milliseconds
 * @internal
 */
export function estimateSoloMs(
  capacity: StageCapacity,
  pieceCount: number,
  slowness: number,
): number {
  return estimateCallMs(capacity, Math.min(pieceCount, capacity.batch), slowness);
}
