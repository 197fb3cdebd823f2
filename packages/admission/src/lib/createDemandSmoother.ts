import type { Clock } from '@endiveferry/base';

import type { SlotDemand } from './createStageQueue.js';

/** Smoothed demand below this is forgotten. */
const MIN_SLOTS = 0.01;

/**
 * Smooths a host's demand on one pool, so that the shares computed from it follow a change of load
 * and not each single request.
 *
 * @public
 */
export interface DemandSmoother {
  /** Takes the demand of this moment in and returns the smoothed one. */
  update(demand: readonly SlotDemand[]): readonly SlotDemand[];
}

/**
 * Creates a smoother.
 *
 * @param clock - tells how much time passed between updates
 * @param timeConstantMs - the time in which a change has its effect but for 1/e, in milliseconds
 * @returns the smoother, without demand
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
