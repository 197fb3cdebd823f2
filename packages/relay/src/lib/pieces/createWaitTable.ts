import type { Clock, PoolId } from '@endiveferry/base';

import type { ReportedWaits } from '../messages.js';
import { findWaitMs, type RankWait } from './RankWait.js';

/** Waiting times that are older than this, in milliseconds, say nothing. */
const VALID_MS = 3_000;

/**
 * The newest waiting times of all pools that this host was told of.
 *
 * @public
 */
export interface WaitTable {
  readonly note: (told: ReportedWaits) => void;
  /** How long work of a rank waits at a pool, in milliseconds; 0 when nothing is known. */
  find(poolId: PoolId, rank: number): number;
  /** What is known and still new enough to be passed on. */
  readonly list: () => ReportedWaits[];
}

/**
 * Creates a table without any waiting times. Hosts pass them on, so that each hears of all pools,
 * also of those whose dispatcher runs on a host that it has no link to.
 *
 * @param clock - tells ages
 * @returns the table
 * @public
 */
export function createWaitTable(clock: Clock): WaitTable {
  const entries = new Map<
    PoolId,
    { readonly toldAt: number; readonly byRank: readonly RankWait[] }
  >();
  const isNew = (toldAt: number) => clock.now() - toldAt < VALID_MS;
  return {
    note({ poolId, ageMs, byRank }) {
      const toldAt = clock.now() - ageMs;
      const known = entries.get(poolId);
      if (known === undefined || known.toldAt <= toldAt) entries.set(poolId, { toldAt, byRank });
    },
    find(poolId, rank) {
      const entry = entries.get(poolId);
      return entry !== undefined && isNew(entry.toldAt) ? findWaitMs(entry.byRank, rank) : 0;
    },
    list: () =>
      [...entries].flatMap(([poolId, { toldAt, byRank }]) =>
        isNew(toldAt) ? [{ poolId, ageMs: Math.round(clock.now() - toldAt), byRank }] : [],
      ),
  };
}
