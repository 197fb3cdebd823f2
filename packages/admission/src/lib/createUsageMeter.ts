import type { Clock } from '@endiveferry/base';

/**
 * Recent use of service time by key, with exponential decay.
 *
 * @public
 */
export interface UsageMeter<Key extends string> {
  /** Adds service time in milliseconds; a negative amount corrects an earlier one. */
  add(key: Key, serviceMs: number): void;
  /** Returns the rate of use in milliseconds of service per millisecond, i.e. in busy slots. */
  rate(key: Key): number;
}

/**
 * Creates a usage meter.
 *
 * @param clock - measures the time of decay
 * @param timeConstantMs - the time in which use decays to 1/e, in milliseconds
 * @returns an empty meter
 * @public
 */
export function createUsageMeter<Key extends string>(
  clock: Clock,
  timeConstantMs: number,
): UsageMeter<Key> {
  const entries = new Map<Key, { serviceMs: number; at: number }>();

  function decay(key: Key): { serviceMs: number; at: number } {
    const now = clock.now();
    const entry = entries.get(key) ?? { serviceMs: 0, at: now };
    entry.serviceMs *= Math.exp((entry.at - now) / timeConstantMs);
    entry.at = now;
    entries.set(key, entry);
    return entry;
  }

  return {
    add(key, serviceMs) {
      const entry = decay(key);
      entry.serviceMs = Math.max(0, entry.serviceMs + serviceMs);
    },
    rate: (key) => decay(key).serviceMs / timeConstantMs,
  };
}
