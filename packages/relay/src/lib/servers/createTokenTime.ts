import type { Clock } from '@endiveferry/base';

import type { ServerSpeed } from './createServerSpeed.js';

/**
 * Initial estimate of the time to read one prompt token, in milliseconds. Engines read 50 to 120
 * tokens per millisecond.
 *
 * @internal
 */
export const INITIAL_TOKEN_MS = 0.015;
/** Bounds of a measured read time per token, in milliseconds: measurements include queueing. */
const MIN_TOKEN_MS = 0.004;
const MAX_TOKEN_MS = 0.1;
/** Minimum number of prompt tokens to read for measuring the read time; fewer are too imprecise. */
const MIN_MEASURED_TOKENS = 1_500;
/** Weight of the newest prompt in the moving average of the read time. */
const TOKEN_MS_WEIGHT = 0.15;

/** Estimated time in which one engine reads a prompt token. @internal */
export interface TokenTime {
  /** Returns the time at the present speed of the engine, in milliseconds. */
  readonly current: () => number;
  /**
   * Records that a prompt was read.
   *
   * @param unread - its tokens that were not cached
   * @param ahead - the tokens that were read since `startedAt`, with those of earlier calls
   * @param startedAt - monotonic time at which it was sent, in milliseconds
   * @returns the measured time for each token, in milliseconds; undefined with too few tokens
   */
  recordRead(unread: number, ahead: number, startedAt: number): number | undefined;
}

/**
 * Creates the estimate of an engine that has read nothing yet.
 *
 * @param clock - measures the time of reading
 * @param speed - the speed of the engine
 * @returns the estimate
 * @internal
 */
export function createTokenTime(clock: Pick<Clock, 'now'>, speed: ServerSpeed): TokenTime {
  let tokenMs = INITIAL_TOKEN_MS;
  return {
    current: () => tokenMs * speed.slowdown(),
    recordRead(unread, ahead, startedAt) {
      if (unread < MIN_MEASURED_TOKENS) return undefined;
      const measured = (clock.now() - startedAt) / ahead;
      speed.recordCall(measured / tokenMs, startedAt);
      const usual = measured / speed.findSlowdownSince(startedAt);
      const bounded = Math.min(MAX_TOKEN_MS, Math.max(MIN_TOKEN_MS, usual));
      tokenMs += TOKEN_MS_WEIGHT * (bounded - tokenMs);
      return measured;
    },
  };
}
