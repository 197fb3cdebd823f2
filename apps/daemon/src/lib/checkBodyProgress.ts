import { createNotRunFailure, type Failure } from '@endiveferry/base';

/**
 * Lowest average rate of a body, in bytes per second. A link of 7 Mbit/s carries 50 times as much.
 */
const MIN_BYTES_PER_SECOND = 16_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Bytes on the connection per byte of content; chunks of one byte take 6. */
const MAX_ENCODED_RATIO = 8;
/** Bytes on the connection that may come without content: what is read at once, and a chunk header. */
const ENCODING_SLACK_BYTES = 262_144;
/** Time that is added to the time without progress in the weight of a body, in milliseconds. */
const WEIGHT_SLACK_MS = 100;

/** How far a body has arrived. @internal */
export interface BodyProgress {
  readonly startedAt: number;
  /** Monotonic time at which content last arrived, in milliseconds. */
  readonly lastContentAt: number;
  /** Bytes of content that have arrived. */
  readonly contentBytes: number;
  /** Bytes that have arrived on the connection since the body began. */
  readonly encodedBytes: number;
}

/**
 * Decides whether a body arrives too slowly, or with too many bytes that are no content.
 *
 * @param body - the body
 * @param now - monotonic time, in milliseconds
 * @param idleTimeoutMs - time that a body may arrive without content, in milliseconds
 * @returns the failure of its request; undefined while it may go on
 * @internal
 */
export function checkBodyProgress(
  body: BodyProgress,
  now: number,
  idleTimeoutMs: number,
): Failure | undefined {
  const { contentBytes, encodedBytes } = body;
  if (encodedBytes > ENCODING_SLACK_BYTES + MAX_ENCODED_RATIO * contentBytes) {
    const detail = `${encodedBytes} bytes were sent for ${contentBytes} bytes of the body`;
    return createNotRunFailure('body-too-large', detail);
  }
  const idleMs = now - body.lastContentAt;
  const ageMs = now - body.startedAt;
  const allowedMs = idleTimeoutMs + (contentBytes / MIN_BYTES_PER_SECOND) * MILLISECONDS_PER_SECOND;
  if (idleMs <= idleTimeoutMs && ageMs <= allowedMs) return undefined;
  const detail = `${contentBytes} bytes of the body arrived in ${Math.round(ageMs)} ms, the last ${Math.round(idleMs)} ms ago`;
  return createNotRunFailure('body-timeout', detail);
}

/**
 * Computes the weight of an incomplete body when the memory is used up: the heaviest is dropped. A
 * large body that still arrives weighs less than a smaller one that has stopped.
 *
 * @param heldBytes - memory that the body takes, in bytes
 * @param idleMs - time since content last arrived, in milliseconds
 * @returns the weight, above 0
 * @internal
 */
export function computeBodyWeight(heldBytes: number, idleMs: number): number {
  return heldBytes * (Math.max(0, idleMs) + WEIGHT_SLACK_MS);
}
