import type { Clock } from '@endiveferry/base';

const MILLISECONDS_PER_MINUTE = 60_000;

/**
 * Spreads loads over time, so that all hosts together stay under the weight store's rate.
 *
 * @public
 */
export interface LoadRateLimiter {
  /** Takes one load; false when this host has used up its part for now. */
  tryAcquire(): boolean;
}

/**
 * Creates a pacer with this host's even part of the fleet's rate. It starts empty, so that hosts
 * that all start at once load nothing at once.
 *
 * @param clock - tells how much was earned
 * @param findLoadsPerMinute - this host's part of the rate
 * @returns the pacer
 * @public
 */
export function createLoadRateLimiter(
  clock: Clock,
  findLoadsPerMinute: () => number,
): LoadRateLimiter {
  let saved = 0;
  let earnedAt = clock.now();
  return {
    tryAcquire() {
      const now = clock.now();
      saved = Math.min(
        1,
        saved + ((now - earnedAt) * findLoadsPerMinute()) / MILLISECONDS_PER_MINUTE,
      );
      earnedAt = now;
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
  };
}
