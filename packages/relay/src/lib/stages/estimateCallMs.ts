import type { StageCapacity } from '../RelayConfiguration.js';

/** Multiple of its expected duration after which a call times out. */
const CALL_TIMEOUT_FACTOR = 3;
/** Minimum timeout of a call, in milliseconds. */
const MIN_CALL_TIMEOUT_MS = 900;

/**
 * Estimates the duration of a call.
 *
 * @param capacity - the pool's configured capacity
 * @param pieceCount - number of pieces in the call
 * @param slowness - the replica's ratio of measured to expected duration
 * @returns the duration, in milliseconds
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
 * Estimates the duration of a call that contains only the given pieces, or of the first such call
 * if they exceed a full batch.
 *
 * @param capacity - the pool's configured capacity
 * @param pieceCount - number of pieces
 * @param slowness - the replica's ratio of measured to expected duration
 * @returns the duration, in milliseconds
 * @internal
 */
export function estimateSoloMs(
  capacity: StageCapacity,
  pieceCount: number,
  slowness: number,
): number {
  return estimateCallMs(capacity, Math.min(pieceCount, capacity.batch), slowness);
}

/**
 * Computes the timeout of a call.
 *
 * @param expectedMs - expected duration at a replica of the configured speed, in milliseconds
 * @param slowness - the replica's ratio of measured to expected duration
 * @returns the timeout, in milliseconds
 * @internal
 */
export function computeCallTimeoutMs(expectedMs: number, slowness: number): number {
  return Math.max(MIN_CALL_TIMEOUT_MS, expectedMs * CALL_TIMEOUT_FACTOR * Math.max(1, slowness));
}
