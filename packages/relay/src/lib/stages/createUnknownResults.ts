import type { Clock } from '@endiveferry/base';

/** Results that occupy memory of a replica and were made by calls of another dispatcher. @internal */
export interface UnknownResults {
  /** Replaces the estimate of the memory that they occupy now, in bytes. */
  setBytes(bytes: number): void;
  /** Records that one of them was freed, of about the given size, in bytes. */
  removeResult(bytes: number): void;
  /** Estimates the memory that is still occupied, where results are kept for `ttlMs`, in bytes. */
  estimateBytes(ttlMs: number): number;
}

/**
 * Creates the estimate for a replica on which there are none.
 *
 * @param clock - clock for the expiry of the results
 * @returns the estimate
 * @internal
 */
export function createUnknownResults(clock: Clock): UnknownResults {
  let knownBytes = 0;
  let knownAt = -Infinity;
  return {
    setBytes(bytes) {
      knownBytes = Math.max(0, bytes);
      knownAt = clock.now();
    },
    removeResult(bytes) {
      knownBytes = Math.max(0, knownBytes - bytes);
    },
    // They were made one after the other, so that about as many expire in each interval. Counting
    // all of them until the last one has expired leaves replicas idle.
    estimateBytes: (ttlMs) => knownBytes * Math.max(0, 1 - (clock.now() - knownAt) / ttlMs),
  };
}
