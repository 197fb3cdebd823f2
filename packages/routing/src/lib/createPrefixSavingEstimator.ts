/** Weight of the newest sample in a running mean. */
const MEAN_GAIN = 0.05;
/** Weight of samples above the running mean of prompts that count as cached. */
const CACHED_GAIN_ABOVE_MEAN = 0.005;
/** Prompts count as cached from this hit ratio upwards. */
const MIN_CACHED_HIT_RATIO = 0.75;
/** Prompts count as not cached up to this hit ratio. */
const MAX_UNCACHED_HIT_RATIO = 0.25;
/** Estimate until there are samples of cached and of uncached prompts. */
const DEFAULT_SAVING_MS = 50;

/**
 * Estimates the time saved by a cached prompt.
 *
 * @internal
 */
export interface PrefixSavingEstimator {
  /** Records the time to the first token of a prompt with a presumed cache hit ratio. */
  record(hitRatio: number, firstTokenMs: number): void;
  /** Estimates the time saved by a fully cached prompt, in milliseconds. */
  readonly estimate: () => number;
}

/** Creates a running mean that starts with its first value; values above it weigh `gainAbove`. */
function createRunningMean(gainAbove: number) {
  let mean: number | undefined;
  return {
    add(value: number): void {
      const before = mean ?? value;
      mean = before + (value - before) * (value > before ? gainAbove : MEAN_GAIN);
    },
    get: () => mean,
  };
}

/**
 * Creates an estimator without samples.
 *
 * @returns the estimator
 * @internal
 */
export function createPrefixSavingEstimator(): PrefixSavingEstimator {
  // Some prompts that count as cached have been evicted. Weighing them fully would make affinity
  // look worthless, which spreads prompts and evicts even more.
  const cached = createRunningMean(CACHED_GAIN_ABOVE_MEAN);
  const uncached = createRunningMean(MEAN_GAIN);
  return {
    record(hitRatio, firstTokenMs) {
      if (hitRatio >= MIN_CACHED_HIT_RATIO) cached.add(firstTokenMs);
      else if (hitRatio <= MAX_UNCACHED_HIT_RATIO) uncached.add(firstTokenMs);
    },
    estimate() {
      const cachedMs = cached.get();
      const uncachedMs = uncached.get();
      if (cachedMs === undefined || uncachedMs === undefined) return DEFAULT_SAVING_MS;
      return Math.max(0, uncachedMs - cachedMs);
    },
  };
}
