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
import { createPoolRouter, type CrashTracker, type PoolRouter } from '@endiveferry/routing';
import type { Configuration, Pool } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

/** Time for which a computed budget is cached before demand is sampled again. */
const BUDGET_VALIDITY_MS = 50;
/** Time constant of the smoothing of demand, by which slots are apportioned. */
const DEMAND_TIME_CONSTANT_MS = 1_000;
/** Calls that a host may run beyond its share. */
const EXTRA_CALLS = 1;

/** Tracks this host's demand on one pool. */
interface DemandTracker {
  /** Samples the queue and returns the smoothed demand. */
  update(): readonly SlotDemand[];
}

/**
 * State of one pool on this host.
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
  /** Finds prompt prefixes that crash engines, for all pools. */
  readonly crashes: CrashTracker;
  readonly settings: () => Pool;
  /** Returns the number of calls that this host may run concurrently now. */
  readonly getBudget: () => number;
}

/**
 * Pools of the active configuration.
 *
 * @public
 */
export interface PoolSet {
  /** Applies a new configuration and list of hosts; running calls are not affected. */
  update(configuration: Configuration, hosts: readonly HostId[]): void;
  setLeavingServers(serverIds: ReadonlySet<BackendServerId>): void;
  /** Replaces all connections to backend servers. */
  renewConnections(): void;
  findPool(poolId: PoolId): PoolRuntime | undefined;
  listPools(): readonly PoolRuntime[];
  /** Returns the demand of this host's callers on each pool. */
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
  readonly crashes: CrashTracker;
  /** Returns whether each host of a fleet of this size receives the demand of all others. */
  readonly hasDemandOfAllHosts: (hostCount: number) => boolean;
  readonly supervisor: Supervisor;
}

/**
 * Creates an empty set of pools and the timer that starts waiting calls when budgets grow.
 *
 * @param options - see {@link PoolSetOptions}
 * @returns the set
 * @public
 */
export function createPoolSet(options: PoolSetOptions): PoolSet {
  const { hostId, clock, fleetDemand } = options;
  const pools = new Map<
    PoolId,
    PoolRuntime & { demand: DemandTracker; applySettings: (pool: Pool) => void }
  >();
  let configuration: Configuration | undefined;
  let hosts: readonly HostId[] = [];
  let equalShares: ReadonlyMap<HostId, number> = new Map();
  let leavingServers: ReadonlySet<BackendServerId> = new Set();

  const listRanks = (): RankPolicy[] =>
    listEntries(configuration?.ranks ?? {}).map(([id, rank]) => ({ id, ...rank }));
  const getWeight: (id: keyof Configuration['workspaces']) => number = (id) =>
    configuration?.workspaces[id]?.weight ?? 1;

  /** Creates the function that computes the number of slots of this host, with a cached result. */
  function createBudgetCalculator(router: PoolRouter, poolId: PoolId, demand: DemandTracker) {
    let budget = 0;
    let validUntil = -Infinity;
    return () => {
      if (clock.now() < validUntil) return budget;
      validUntil = clock.now() + BUDGET_VALIDITY_MS;
      const demands = new Map(fleetDemand.listPoolDemand(poolId));
      demands.set(hostId, demand.update());
      const hasAllDemand = options.hasDemandOfAllHosts(hosts.length);
      // Hosts that report are a sample of a large fleet; they share a proportional part of it.
      const reportedFraction = hasAllDemand ? 1 : Math.min(1, demands.size / hosts.length);
      const capacity = router.capacity() * reportedFraction;
      const shares = apportionSlots({ capacity, ranks: listRanks(), getWeight, demands });
      router.setShares(hasAllDemand ? shares : equalShares);
      // Extra calls wait at the servers so that no slot is idle; engines order them by priority.
      const share = Math.round(shares.get(hostId) ?? 0) + EXTRA_CALLS;
      budget = capacity === 0 ? 0 : Math.max(1, share);
      return budget;
    };
  }

  function createPool(poolId: PoolId, initialSettings: Pool) {
    let settings = initialSettings;
    const router = createPoolRouter({ ...options, pool: settings, hosts });
    const smoother = createDemandSmoother(clock, DEMAND_TIME_CONSTANT_MS);
    const demand = { update: () => smoother.update(queue.listDemand()) };
    const getBudget = createBudgetCalculator(router, poolId, demand);
    const queue: StageQueue = createStageQueue({
      clock,
      listRanks,
      getWeight,
      getMaxWaiting: () => configuration?.limits.maxQueuedPerPool ?? 0,
      getBudget,
    });
    router.setLeavingServers(leavingServers);
    return {
      id: poolId,
      clock,
      router,
      queue,
      estimator: createServiceEstimator(clock),
      retryBudget: createRetryBudget(() => configuration?.limits.retryShare ?? 0),
      crashes: options.crashes,
      settings: () => settings,
      getBudget,
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
      equalShares = new Map(hosts.map((id) => [id, 1]));
      for (const [poolId, pool] of pools) {
        if (next.pools[poolId] !== undefined) continue;
        pools.delete(poolId);
        void pool.router.close();
      }
      for (const [poolId, settings] of listEntries(next.pools)) {
        const existing = pools.get(poolId);
        if (existing === undefined) pools.set(poolId, createPool(poolId, settings));
        else existing.applySettings(settings);
      }
    },
    setLeavingServers(serverIds) {
      leavingServers = serverIds;
      for (const pool of pools.values()) pool.router.setLeavingServers(serverIds);
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
