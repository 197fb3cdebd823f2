import type { Clock } from '@endiveferry/base';

import type { SlotDemand } from './createStageQueue.js';

/** Entries whose smoothed demand falls below this are removed. */
const MIN_SLOTS = 0.01;

/**
 * Smooths a host's demand on one pool, so that the shares computed from it follow changes of load
 * rather than single requests.
 *
 * @public
 */
export interface DemandSmoother {
  /** Adds a sample of the demand and returns the smoothed demand. */
  update(demand: readonly SlotDemand[]): readonly SlotDemand[];
}

/**
 * Creates a smoother with exponential decay.
 *
 * @param clock - measures the time between updates
 * @param timeConstantMs - the time in which all but 1/e of a change takes effect, in milliseconds
 * @returns a smoother without demand
 * @public
 */
export function createDemandSmoother(clock: Clock, timeConstantMs: number): DemandSmoother {
  const smoothed = new Map<string, SlotDemand>();
  let updatedAt = clock.now();

  return {
    update(demand) {
      const now = clock.now();
      const gain = 1 - Math.exp((updatedAt - now) / timeConstantMs);
      updatedAt = now;
      const current = new Map(
        demand.map((entry) => [`${entry.rankId} ${entry.workspaceId}`, entry]),
      );
      for (const [key, entry] of [...smoothed, ...current]) {
        const before = smoothed.get(key)?.slots ?? 0;
        const slots = before + ((current.get(key)?.slots ?? 0) - before) * gain;
        if (slots < MIN_SLOTS && !current.has(key)) smoothed.delete(key);
        else smoothed.set(key, { ...entry, slots });
      }
      return [...smoothed.values()];
    },
  };
}
