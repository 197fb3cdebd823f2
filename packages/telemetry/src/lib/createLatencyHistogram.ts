import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
/** One hour, in microseconds. */
const HIGHEST_VALUE_US = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;

/**
 * Histogram of durations.
 *
 * @public
 */
export interface LatencyHistogram {
  /** Records one duration, in milliseconds. */
  record(durationMs: number): void;
  /** Returns the duration at a quantile (0 to 1), in milliseconds; 0 when empty. */
  getQuantile(quantile: number): number;
  /** Returns the number of recorded durations. */
  count(): number;
  /** Returns the mean duration, in milliseconds; 0 when empty. */
  mean(): number;
  /** Removes all recorded durations. */
  reset(): void;
}

/**
 * Creates a histogram of durations of up to one hour, with two significant digits.
 *
 * @returns an empty histogram
 * @public
 */
export function createLatencyHistogram(): LatencyHistogram {
  const histogram: Histogram = build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_VALUE_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  return {
    record(durationMs) {
      const value = Math.round(durationMs * MICROSECONDS_PER_MILLISECOND);
      histogram.recordValue(Math.min(HIGHEST_VALUE_US, Math.max(0, value)));
    },
    getQuantile: (quantile) =>
      histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MILLISECOND,
    count: () => histogram.totalCount,
    mean: () => (histogram.totalCount === 0 ? 0 : histogram.mean / MICROSECONDS_PER_MILLISECOND),
    reset: () => histogram.reset(),
  };
}
