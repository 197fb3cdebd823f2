import type { Clock, PoolId } from '@endiveferry/base';

import type { ReportedWaits } from '../fleet/messages.js';
import { findWaitMs, type RankWait } from '../RankWait.js';

/** Age from which waiting times are ignored, in milliseconds. */
const MAX_AGE_MS = 3_000;

/**
 * Latest waiting times reported by the dispatchers of all pools.
 *
 * @public
 */
export interface WaitTable {
  readonly record: (waits: ReportedWaits) => void;
  /** Finds the waiting time of a rank at a pool, in milliseconds; 0 when unknown. */
  find(poolId: PoolId, rank: number): number;
  /** Lists the waiting times that are recent enough to be forwarded. */
  readonly list: () => ReportedWaits[];
}

/**
 * Creates an empty table. Hosts forward waiting times to each other, so that each host receives
 * those of all pools, including pools whose dispatcher runs on a host that it has no link to.
 *
 * @param clock - clock for the age of waiting times
 * @returns the table
 * @public
 */
export function createWaitTable(clock: Clock): WaitTable {
  const entries = new Map<
    PoolId,
    { readonly reportedAt: number; readonly byRank: readonly RankWait[] }
  >();
  const isFresh = (reportedAt: number) => clock.now() - reportedAt < MAX_AGE_MS;
  return {
    record({ poolId, ageMs, byRank }) {
      const reportedAt = clock.now() - ageMs;
      const known = entries.get(poolId);
      if (known === undefined || known.reportedAt <= reportedAt)
        entries.set(poolId, { reportedAt, byRank });
    },
    find(poolId, rank) {
      const entry = entries.get(poolId);
      return entry !== undefined && isFresh(entry.reportedAt) ? findWaitMs(entry.byRank, rank) : 0;
    },
    list: () =>
      [...entries].flatMap(([poolId, { reportedAt, byRank }]) =>
        isFresh(reportedAt)
          ? [{ poolId, ageMs: Math.round(clock.now() - reportedAt), byRank }]
          : [],
      ),
  };
}
