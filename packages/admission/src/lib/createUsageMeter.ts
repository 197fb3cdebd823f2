import type { Clock } from '@endiveferry/base';

/**
 * Service used lately, with old use fading away.
 *
 * @public
 */
export interface UsageMeter<Key extends string> {
  /** Adds use, in milliseconds of service; a negative amount corrects an earlier one. */
  add(key: Key, serviceMs: number): void;
  /** The rate of use: milliseconds of service a millisecond, which is slots kept busy. */
  rate(key: Key): number;
}

/**
 * Creates a meter whose entries decay exponentially.
 *
 * @param clock - tells how much has decayed
 * @param timeConstantMs - the time in which use fades to 1/e, in milliseconds
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
