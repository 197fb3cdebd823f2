import type { Clock } from '@endiveferry/base';

const MILLISECONDS_PER_MINUTE = 60_000;

/**
 * Rate limiter for model loads, which keeps all hosts together under the weight store's rate.
 *
 * @public
 */
export interface LoadRateLimiter {
  /** Acquires one load; returns false when this host's share is used up for now. */
  tryAcquire(): boolean;
}

/**
 * Creates a token bucket of capacity 1 that refills at this host's equal share of the rate. It
 * starts empty, so that hosts that start together do not load together.
 *
 * @param clock - clock for the refill
 * @param getLoadsPerMinute - returns this host's share of the rate, in loads per minute
 * @returns the rate limiter
 * @public
 */
export function createLoadRateLimiter(
  clock: Clock,
  getLoadsPerMinute: () => number,
): LoadRateLimiter {
  let tokens = 0;
  let refilledAt = clock.now();
  return {
    tryAcquire() {
      const now = clock.now();
      tokens = Math.min(
        1,
        tokens + ((now - refilledAt) * getLoadsPerMinute()) / MILLISECONDS_PER_MINUTE,
      );
      refilledAt = now;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
