import type { Clock, PoolId } from '@endiveferry/base';
import {
  createWaitTable,
  findWaitMs,
  type EstimateWaitMs,
  type Fleet,
  type WaitTable,
} from '@endiveferry/relay';

import type { Dispatchers } from './createDispatchers.js';

/** Waiting times at the dispatchers of this host and of others. @internal */
export interface StageWaits {
  readonly record: WaitTable['record'];
  /** Returns the waiting time that the pool's dispatcher, on this or another host, last reported. */
  readonly estimateMs: EstimateWaitMs;
  /** Lists the waiting times of this host's dispatchers and those that other hosts reported. */
  readonly listReported: WaitTable['list'];
}

/** Options of {@link createStageWaits}. @internal */
export interface StageWaitsOptions {
  readonly clock: Clock;
  readonly findDispatcher: Dispatchers['find'];
  readonly listPools: Dispatchers['listPools'];
  readonly findFleet: () => Pick<Fleet, 'isDispatcher'>;
}

/**
 * Creates the waiting times, none of them known.
 *
 * @param options - see {@link StageWaitsOptions}
 * @returns the waiting times
 * @internal
 */
export function createStageWaits(options: StageWaitsOptions): StageWaits {
  const { findDispatcher, listPools, findFleet } = options;
  const table = createWaitTable(options.clock);
  const listOwn = (poolId: PoolId) => findDispatcher(poolId)?.listWaits() ?? [];
  return {
    record: table.record,
    estimateMs: (poolId, rank) =>
      findFleet().isDispatcher(poolId)
        ? findWaitMs(listOwn(poolId), rank)
        : table.find(poolId, rank),
    listReported() {
      const ownPools = listPools().filter(findFleet().isDispatcher);
      const others = table.list().filter(({ poolId }) => !ownPools.includes(poolId));
      const own = ownPools.map((poolId) => ({ poolId, ageMs: 0, byRank: listOwn(poolId) }));
      return [...own, ...others];
    },
  };
}
