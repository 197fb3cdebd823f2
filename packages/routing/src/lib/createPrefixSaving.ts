/** Weight of the newest measurement in a running mean. */
const GAIN = 0.05;
/** Weight of a measurement above the running low of prompts thought to be cached. */
const GAIN_ABOVE_LOW = 0.005;
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

/** A running mean that starts with its first value; values above it may weigh less. */
function createMean(gainAbove: number) {
  let mean: number | undefined;
  return {
    add(value: number): void {
      const before = mean ?? value;
      mean = before + (value - before) * (value > before ? gainAbove : GAIN);
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
  // Some prompts thought to be cached were evicted. Counting those in would make affinity look
  // worthless, spread prompts, and so evict more.
  const cached = createMean(GAIN_ABOVE_LOW);
  const uncached = createMean(GAIN);
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
