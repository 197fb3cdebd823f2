import type { Clock } from './clock.js';

/** Age from which a delay is ignored, in milliseconds. */
const MAX_AGE_MS = 2_000;

/**
 * Tracks the recent delays of this process's event loop.
 *
 * @public
 */
export interface DelayTracker {
  /** Records a delay that has just ended. */
  record(delayMs: number): void;
  /** Returns the longest delay that ended in the last two seconds, in milliseconds. */
  readonly findRecentMs: () => number;
}

/**
 * Creates a tracker without delays.
 *
 * @param clock - clock for the age of delays
 * @returns the tracker
 * @public
 */
export function createDelayTracker(clock: Clock): DelayTracker {
  let delays: { readonly delayMs: number; readonly endedAt: number }[] = [];
  const isRecent = ({ endedAt }: { readonly endedAt: number }) =>
    clock.now() - endedAt <= MAX_AGE_MS;
  return {
    record(delayMs) {
      delays = [...delays.filter(isRecent), { delayMs, endedAt: clock.now() }];
    },
    findRecentMs: () => Math.max(0, ...delays.filter(isRecent).map(({ delayMs }) => delayMs)),
  };
}
