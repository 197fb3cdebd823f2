/** Weight of the newest measurement in the running means. */
const GAIN = 0.05;
/** Prompts held to at least this part count as cached, those below the other one as not. */
const CACHED_SHARE = 0.75;
const UNCACHED_SHARE = 0.25;
/** Assumed until both kinds were measured. */
const DEFAULT_SAVING_MS = 50;

/**
 * Learns what a cached prompt saves.
 *
 * @internal
 */
export interface PrefixSaving {
  /** Records the time to the first token of a prompt of which a share was thought to be cached. */
  record(hitShare: number, firstTokenMs: number): void;
  /** What a fully cached prompt saves, in milliseconds. */
  readonly estimate: () => number;
}

/** A running mean that starts with its first value. */
function createMean() {
  let mean: number | undefined;
  return {
    add(value: number): void {
      mean = mean === undefined ? value : mean + (value - mean) * GAIN;
    },
    get: () => mean,
  };
}

/**
 * Creates an estimate that starts from an assumption.
 *
 * @returns the estimate
 * @internal
 */
export function createPrefixSaving(): PrefixSaving {
  const cached = createMean();
  const uncached = createMean();
  return {
    record(hitShare, firstTokenMs) {
      if (hitShare >= CACHED_SHARE) cached.add(firstTokenMs);
      else if (hitShare <= UNCACHED_SHARE) uncached.add(firstTokenMs);
    },
    estimate() {
      const cachedMs = cached.get();
      const uncachedMs = uncached.get();
      if (cachedMs === undefined || uncachedMs === undefined) return DEFAULT_SAVING_MS;
      return Math.max(0, uncachedMs - cachedMs);
    },
  };
}
