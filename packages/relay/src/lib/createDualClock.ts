import type { Clock } from '@endiveferry/base';

/** A disagreement of the clocks beyond this, in milliseconds, hides or fakes time; steps are larger. */
const MAX_DISAGREEMENT_MS = 700;

/** A moment on both clocks of a process. @public */
export interface DualTimestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Measures ages in a process that may have been suspended: its steady clock misses that time, and
 * its time of day may be set while it runs.
 *
 * @public
 */
export interface DualClock {
  now(): DualTimestamp;
  /** The moment that lies `ageMs` before another. */
  subtract(moment: DualTimestamp, ageMs: number): DualTimestamp;
  /** The longest time, in milliseconds, that may have passed since; Infinity when the clocks disagree. */
  computeAgeMs(moment: DualTimestamp): number;
}

/**
 * Creates a trust clock.
 *
 * @param clock - the process's clocks
 * @returns the trust clock
 * @public
 */
export function createDualClock(clock: Clock): DualClock {
  return {
    now: () => ({ monotonicMs: clock.now(), wallMs: clock.wallTime() }),
    subtract: (moment, ageMs) => ({
      monotonicMs: moment.monotonicMs - ageMs,
      wallMs: moment.wallMs - ageMs,
    }),
    computeAgeMs(moment) {
      const steadyMs = clock.now() - moment.monotonicMs;
      const wallMs = clock.wallTime() - moment.wallMs;
      // A time of day that fell back may hide a suspension of any length.
      if (wallMs < steadyMs - MAX_DISAGREEMENT_MS) return Infinity;
      return Math.max(steadyMs, wallMs);
    },
  };
}
