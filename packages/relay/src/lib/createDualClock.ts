import type { Clock } from '@endiveferry/base';

/**
 * Tolerated lag of the wall clock behind the monotonic clock, in milliseconds. A larger lag means
 * that the wall clock was set back; adjustments in steps exceed this value.
 */
const MAX_WALL_CLOCK_LAG_MS = 700;

/** An instant as read from both clocks of a process. @public */
export interface DualTimestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Measures elapsed time by the monotonic and the wall clock together. The monotonic clock does not
 * advance while the process is suspended, and the wall clock may be set while it runs.
 *
 * @public
 */
export interface DualClock {
  now(): DualTimestamp;
  /** Returns the instant `durationMs` milliseconds before a timestamp. */
  subtract(timestamp: DualTimestamp, durationMs: number): DualTimestamp;
  /**
   * Returns an upper bound of the time since a timestamp, in milliseconds; Infinity when the wall
   * clock was set back.
   */
  computeAgeMs(timestamp: DualTimestamp): number;
}

/**
 * Creates a dual clock.
 *
 * @param clock - the monotonic and wall clocks of the process
 * @returns the dual clock
 * @public
 */
export function createDualClock(clock: Clock): DualClock {
  return {
    now: () => ({ monotonicMs: clock.now(), wallMs: clock.wallTime() }),
    subtract: (timestamp, durationMs) => ({
      monotonicMs: timestamp.monotonicMs - durationMs,
      wallMs: timestamp.wallMs - durationMs,
    }),
    computeAgeMs(timestamp) {
      const monotonicMs = clock.now() - timestamp.monotonicMs;
      const wallMs = clock.wallTime() - timestamp.wallMs;
      // A wall clock that was set back may hide a suspension of any length.
      if (wallMs < monotonicMs - MAX_WALL_CLOCK_LAG_MS) return Infinity;
      return Math.max(monotonicMs, wallMs);
    },
  };
}
