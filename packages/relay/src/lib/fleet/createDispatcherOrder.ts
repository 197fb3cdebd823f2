import { computeWeightedOrder, type Clock, type HostId, type PoolId } from '@endiveferry/base';

import type { Membership } from './createMembership.js';

/**
 * Time for which an order is used without a check of the live hosts, in milliseconds: each decision
 * reads it.
 */
const UNCHECKED_MS = 50;

/** Options of {@link createDispatcherOrder}. @internal */
export interface DispatcherOrderOptions {
  readonly clock: Clock;
  /** This host, and its weight in the choice of dispatchers. */
  readonly self: { readonly hostId: HostId; readonly weight: number };
  readonly listLive: Membership['listLive'];
  readonly isStopping: () => boolean;
}

/** The order in which hosts dispatch the pieces of each pool. @internal */
export interface DispatcherOrder {
  /** Returns the hosts that may dispatch a pool's pieces, preferred ones first. */
  readonly listDispatchers: (poolId: PoolId) => readonly HostId[];
}

interface CachedOrder {
  readonly checkedAt: number;
  readonly live: ReadonlyMap<HostId, number>;
  readonly isStopping: boolean;
  readonly hosts: readonly HostId[];
}

/**
 * Creates the order. It is sorted again only when the live hosts have changed: in a fleet of
 * hundreds, each heartbeat and each stage of a request asks for it.
 *
 * @param options - see {@link DispatcherOrderOptions}
 * @returns the order
 * @internal
 */
export function createDispatcherOrder(options: DispatcherOrderOptions): DispatcherOrder {
  const { clock, self } = options;
  const cachedOrders = new Map<PoolId, CachedOrder>();

  function sortHosts(poolId: PoolId, live: ReadonlyMap<HostId, number>): readonly HostId[] {
    const weights = new Map(live);
    if (!options.isStopping() || live.size === 0) weights.set(self.hostId, self.weight);
    return computeWeightedOrder(poolId, weights);
  }

  return {
    listDispatchers(poolId) {
      const cached = cachedOrders.get(poolId);
      const checkedAt = clock.now();
      if (cached !== undefined && checkedAt - cached.checkedAt < UNCHECKED_MS) return cached.hosts;
      const live = options.listLive();
      const isStopping = options.isStopping();
      const isCurrent = cached?.live === live && cached.isStopping === isStopping;
      const hosts = isCurrent ? cached.hosts : sortHosts(poolId, live);
      cachedOrders.set(poolId, { checkedAt, live, isStopping, hosts });
      return hosts;
    },
  };
}
