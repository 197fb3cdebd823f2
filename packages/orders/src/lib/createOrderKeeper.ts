import {
  listEntries,
  waitFor,
  type BackendServerId,
  type Clock,
  type ModelId,
  type PoolId,
  type Supervisor,
} from '@endiveferry/base';
import type { OwnershipView } from '@endiveferry/claims';
import type { CallResult } from '@endiveferry/routing';
import type { Configuration } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import { createLoadPacer } from './createLoadPacer.js';

const CHECK_INTERVAL_MS = 1_000;
const ORDER_TIMEOUT_MS = 5_000;
/** Time for a load to show in the engine's report before the order is repeated. */
const REPEAT_AFTER_MS = 30_000;

/**
 * What an engine should hold. It names the whole wanted state, so that repeating it does no harm.
 *
 * @public
 */
export interface Order {
  /** Grows with the published list; at one number only one host may speak to an engine. */
  readonly fencingNumber: number;
  readonly models: readonly { readonly id: ModelId; readonly version: string }[];
}

/**
 * Options of an order keeper.
 *
 * @public
 */
export interface OrderKeeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  /** Tells whether this host alone may speak to an engine now. */
  readonly view: OwnershipView;
  readonly findFencingNumber: () => number;
  readonly findConfiguration: () => Configuration | undefined;
  /** Hosts that share the weight store's rate. */
  readonly countHosts: () => number;
  /** The models that an engine reported; undefined before its first report. */
  readonly findReportedModels: (
    poolId: PoolId,
    serverId: BackendServerId,
  ) => readonly string[] | undefined;
  /** Sends an order; `maySend` is asked right before it is written. */
  readonly send: (
    poolId: PoolId,
    serverId: BackendServerId,
    order: Order,
    maySend: () => boolean,
    timeoutMs: number,
  ) => Promise<CallResult | undefined>;
}

/**
 * Keeps engines at what the configuration places on them.
 *
 * @public
 */
export interface OrderKeeper {
  /** Looks at all engines once, and sends the orders that are due. */
  check(): Promise<void>;
}

interface DueOrder {
  readonly poolId: PoolId;
  readonly serverId: BackendServerId;
  readonly models: Order['models'];
  /** Models that the engine has yet to load. */
  readonly missing: number;
}

/** Names an engine among the keys that have a home. */
const buildKey = (serverId: BackendServerId) => `order ${serverId}`;

/**
 * Creates the keeper and starts its task. One host is responsible for each engine, the home of its
 * name in the published list; it orders only while nothing stands against that, as for a key born
 * this moment: its list is confirmed, and nobody else can still act on an older one.
 *
 * @param options - see {@link OrderKeeperOptions}
 * @returns the keeper
 * @public
 */
export function createOrderKeeper(options: OrderKeeperOptions): OrderKeeper {
  const { clock, logger, view, findConfiguration, findReportedModels } = options;
  const sentAt = new Map<BackendServerId, number>();
  const pacer = createLoadPacer(clock, () => {
    const total = findConfiguration()?.limits.modelLoadsPerMinute ?? 0;
    return total / Math.max(1, options.countHosts());
  });

  const isResponsible = (serverId: BackendServerId) =>
    view.findObstacle(buildKey(serverId), clock.wallTime()) === undefined;

  function isRecent(serverId: BackendServerId): boolean {
    return clock.now() - (sentAt.get(serverId) ?? -Infinity) < REPEAT_AFTER_MS;
  }

  function findDue(configuration: Configuration, poolId: PoolId): DueOrder[] {
    const pool = configuration.pools[poolId];
    if (pool?.kind !== 'model-engine') return [];
    return listEntries(pool.backendServers).flatMap(([serverId, { models }]) => {
      const reported = findReportedModels(poolId, serverId);
      if (reported === undefined) return [];
      const missing = models.filter((id) => !reported.includes(id)).length;
      const isAsWanted = missing === 0 && reported.length === models.length;
      if (isAsWanted || isRecent(serverId) || !isResponsible(serverId)) return [];
      const wanted = models.map((id) => ({
        id,
        version: configuration.models[id]?.version ?? '',
      }));
      return [{ poolId, serverId, models: wanted, missing }];
    });
  }

  async function sendOrder({ poolId, serverId, models }: DueOrder): Promise<void> {
    const fencingNumber = options.findFencingNumber();
    sentAt.set(serverId, clock.now());
    // A process that was paused meanwhile must not speak from what it knew.
    const maySend = () => options.findFencingNumber() === fencingNumber && isResponsible(serverId);
    const result = await options.send(
      poolId,
      serverId,
      { fencingNumber, models },
      maySend,
      ORDER_TIMEOUT_MS,
    );
    if (result?.kind === 'not-sent') sentAt.delete(serverId);
    logger.info('an engine was sent an order', {
      backendServer: serverId,
      fencingNumber,
      models: models.map(({ id }) => id),
      outcome: result?.kind ?? 'unknown-server',
    });
  }

  async function check(): Promise<void> {
    const configuration = findConfiguration();
    if (configuration === undefined) return;
    const due = listEntries(configuration.pools)
      .flatMap(([poolId]) => findDue(configuration, poolId))
      // An engine without any of its models serves nobody.
      .sort((a, b) => b.missing / b.models.length - a.missing / a.models.length);
    for (const order of due) {
      const isPaced = order.missing === 0 || pacer.tryTake();
      if (isPaced) await sendOrder(order);
    }
  }

  options.supervisor.spawn('orders', async (signal) => {
    while (!signal.aborted) {
      await check();
      await waitFor(clock, CHECK_INTERVAL_MS, signal);
    }
  });
  return { check };
}
