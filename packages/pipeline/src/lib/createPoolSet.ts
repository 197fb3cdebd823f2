import {
  listEntries,
  type AvailabilityZoneId,
  type BackendServerId,
  type Clock,
  type HostId,
  type PoolId,
  type Random,
  type Supervisor,
} from '@endiveferry/base';
import {
  apportionSlots,
  createDemandSmoother,
  createRetryBudget,
  createServiceEstimator,
  createStageQueue,
  type FleetDemand,
  type HostDemand,
  type RankPolicy,
  type RetryBudget,
  type SlotDemand,
  type ServiceEstimator,
  type StageQueue,
} from '@endiveferry/admission';
import { createPoolRouter, type PoolRouter } from '@endiveferry/routing';
import type { Configuration, Pool } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

/** How long a computed budget is used before demand is looked at again. */
const BUDGET_VALIDITY_MS = 50;
/** How fast shares follow demand. */
const DEMAND_TIME_CONSTANT_MS = 1_000;
/** Calls that a host may have running beyond its share. */
const SPARE_CALLS = 1;

/** A host's own demand on one pool. */
interface DemandView {
  /** Looks at the queue and returns the smoothed demand. */
  update(): readonly SlotDemand[];
}

/**
 * All that a host keeps for one pool.
 *
 * @public
 */
export interface PoolRuntime {
  readonly id: PoolId;
  readonly clock: Clock;
  readonly router: PoolRouter;
  readonly queue: StageQueue;
  readonly estimator: ServiceEstimator;
  readonly retryBudget: RetryBudget;
  readonly settings: () => Pool;
  /** Calls that this host may have running now. */
  readonly findBudget: () => number;
}

/**
 * The pools of the configuration in force.
 *
 * @public
 */
export interface PoolSet {
  /** Takes over a new configuration or list of hosts; what runs goes on undisturbed. */
  update(configuration: Configuration, hosts: readonly HostId[]): void;
  setLeavingServers(serverIds: ReadonlySet<BackendServerId>): void;
  /** Replaces all connections to backend servers. */
  renewConnections(): void;
  findPool(poolId: PoolId): PoolRuntime | undefined;
  listPools(): readonly PoolRuntime[];
  /** What this host's callers want of the pools. */
  listDemand(): HostDemand['pools'];
  close(): Promise<void>;
}

/**
 * Options of a pool set.
 *
 * @public
 */
export interface PoolSetOptions {
  readonly hostId: HostId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly fleetDemand: FleetDemand;
  /** Whether hosts of a fleet of this size all hear each other's demand. */
  readonly hasDemandOfAllHosts: (hostCount: number) => boolean;
  readonly supervisor: Supervisor;
}

/**
 * Creates an empty set of pools and starts the task that starts waiting calls when budgets grow.
 *
 * @param options - see {@link PoolSetOptions}
 * @returns the set
 * @public
 */
export function createPoolSet(options: PoolSetOptions): PoolSet {
  const { hostId, clock, fleetDemand } = options;
  const pools = new Map<
    PoolId,
    PoolRuntime & { demand: DemandView; applySettings: (pool: Pool) => void }
  >();
  let configuration: Configuration | undefined;
  let hosts: readonly HostId[] = [];
  let evenShares: ReadonlyMap<HostId, number> = new Map();
  let leaving: ReadonlySet<BackendServerId> = new Set();

  const listRanks = (): RankPolicy[] =>
    listEntries(configuration?.ranks ?? {}).map(([id, rank]) => ({ id, ...rank }));
  const findWeight: (id: keyof Configuration['workspaces']) => number = (id) =>
    configuration?.workspaces[id]?.weight ?? 1;

  /** Slots that this host may use, computed anew only once in a while. */
  function createBudgetFinder(router: PoolRouter, poolId: PoolId, demand: DemandView) {
    let budget = 0;
    let validUntil = -Infinity;
    return () => {
      if (clock.now() < validUntil) return budget;
      validUntil = clock.now() + BUDGET_VALIDITY_MS;
      const demands = new Map(fleetDemand.listPoolDemand(poolId));
      demands.set(hostId, demand.update());
      const isWholeFleet = options.hasDemandOfAllHosts(hosts.length);
      // The hosts heard are a sample of a large fleet; they share the part that falls to them.
      const heardPart = isWholeFleet ? 1 : Math.min(1, demands.size / hosts.length);
      const capacity = router.capacity() * heardPart;
      const shares = apportionSlots({ capacity, ranks: listRanks(), findWeight, demands });
      router.setShares(isWholeFleet ? shares : evenShares);
      // A fleet that leaves no slot unused has a call waiting at each server; engines order those.
      const share = Math.round(shares.get(hostId) ?? 0) + SPARE_CALLS;
      budget = capacity === 0 ? 0 : Math.max(1, share);
      return budget;
    };
  }

  function createPool(poolId: PoolId, firstSettings: Pool) {
    let settings = firstSettings;
    const router = createPoolRouter({ ...options, pool: settings, hosts });
    const smoother = createDemandSmoother(clock, DEMAND_TIME_CONSTANT_MS);
    const demand = { update: () => smoother.update(queue.listDemand()) };
    const findBudget = createBudgetFinder(router, poolId, demand);
    const queue: StageQueue = createStageQueue({
      clock,
      listRanks,
      findWeight,
      findMaxWaiting: () => configuration?.limits.maxQueuedPerPool ?? 0,
      findBudget,
    });
    router.setLeaving(leaving);
    return {
      id: poolId,
      clock,
      router,
      queue,
      estimator: createServiceEstimator(clock),
      retryBudget: createRetryBudget(() => configuration?.limits.retryShare ?? 0),
      settings: () => settings,
      findBudget,
      demand,
      applySettings(next: Pool) {
        settings = next;
        router.update(next, hosts);
      },
    };
  }

  let cancelTick: (() => void) | undefined;
  function tick(): void {
    for (const pool of pools.values()) {
      if (pool.queue.waiting() > 0) pool.queue.startQueuedCalls();
    }
    cancelTick = clock.schedule(BUDGET_VALIDITY_MS, tick);
  }
  tick();

  return {
    update(next, nextHosts) {
      configuration = next;
      hosts = nextHosts;
      evenShares = new Map(hosts.map((id) => [id, 1]));
      for (const [poolId, pool] of pools) {
        if (next.pools[poolId] !== undefined) continue;
        pools.delete(poolId);
        void pool.router.close();
      }
      for (const [poolId, settings] of listEntries(next.pools)) {
        const known = pools.get(poolId);
        if (known === undefined) pools.set(poolId, createPool(poolId, settings));
        else known.applySettings(settings);
      }
    },
    setLeavingServers(serverIds) {
      leaving = serverIds;
      for (const pool of pools.values()) pool.router.setLeaving(serverIds);
    },
    renewConnections() {
      for (const pool of pools.values()) pool.router.renewConnections();
    },
    findPool: (poolId) => pools.get(poolId),
    listPools: () => [...pools.values()],
    listDemand: () =>
      [...pools.values()].map(({ id, demand }) => ({ poolId: id, slots: demand.update() })),
    async close() {
      cancelTick?.();
      await Promise.all([...pools.values()].map((pool) => pool.router.close()));
    },
  };
}
