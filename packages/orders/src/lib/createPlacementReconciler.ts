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

import { createLoadRateLimiter } from './createLoadRateLimiter.js';

const RECONCILE_INTERVAL_MS = 1_000;
const ORDER_TIMEOUT_MS = 5_000;
/** Time for a load to appear in the engine's report before the order is sent again. */
const RESEND_AFTER_MS = 30_000;

/**
 * Order to an engine to hold a set of models. It contains the complete desired state, so it is
 * idempotent.
 *
 * @public
 */
export interface PlacementOrder {
  /** Increases with the published host list; only one host may use a number with an engine. */
  readonly fencingNumber: number;
  readonly models: readonly { readonly id: ModelId; readonly version: string }[];
}

/**
 * Options of a placement reconciler.
 *
 * @public
 */
export interface PlacementReconcilerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  /** Decides whether this host is the only one that may send orders to an engine now. */
  readonly view: OwnershipView;
  readonly getFencingNumber: () => number;
  readonly getConfiguration: () => Configuration | undefined;
  /** Returns the number of hosts that share the weight store's rate. */
  readonly countHosts: () => number;
  /** Returns the models that an engine reported; undefined before its first report. */
  readonly getReportedModels: (
    poolId: PoolId,
    serverId: BackendServerId,
  ) => readonly string[] | undefined;
  /** Sends an order; calls `maySend` immediately before the order is written. */
  readonly send: (
    poolId: PoolId,
    serverId: BackendServerId,
    order: PlacementOrder,
    maySend: () => boolean,
    timeoutMs: number,
  ) => Promise<CallResult | undefined>;
}

/**
 * Reconciles the models of engines with the configured placement.
 *
 * @public
 */
export interface PlacementReconciler {
  /** Checks all engines once and sends the due orders. */
  reconcile(): Promise<void>;
}

interface DueOrder {
  readonly poolId: PoolId;
  readonly serverId: BackendServerId;
  readonly models: PlacementOrder['models'];
  /** Number of models that the engine has to load. */
  readonly missingCount: number;
}

/** Builds the key by which the host responsible for an engine is determined. */
const buildKey = (serverId: BackendServerId) => `order ${serverId}`;

/**
 * Creates a placement reconciler and starts its periodic task. Each engine has one responsible
 * host, the owner of the engine's key in the published host list. That host sends orders only under
 * the conditions for running a key created now: its list is confirmed, and no other host can still
 * be acting on an older list.
 *
 * @param options - see {@link PlacementReconcilerOptions}
 * @returns the placement reconciler
 * @public
 */
export function createPlacementReconciler(
  options: PlacementReconcilerOptions,
): PlacementReconciler {
  const { clock, logger, view, getConfiguration, getReportedModels } = options;
  const sentAt = new Map<BackendServerId, number>();
  const limiter = createLoadRateLimiter(clock, () => {
    const total = getConfiguration()?.limits.modelLoadsPerMinute ?? 0;
    return total / Math.max(1, options.countHosts());
  });

  const isResponsible = (serverId: BackendServerId) =>
    view.findObstacle(buildKey(serverId), clock.wallTime()) === undefined;

  function wasSentRecently(serverId: BackendServerId): boolean {
    return clock.now() - (sentAt.get(serverId) ?? -Infinity) < RESEND_AFTER_MS;
  }

  function listDueOrders(configuration: Configuration, poolId: PoolId): DueOrder[] {
    const pool = configuration.pools[poolId];
    if (pool?.kind !== 'model-engine') return [];
    return listEntries(pool.backendServers).flatMap(([serverId, { models }]) => {
      const reported = getReportedModels(poolId, serverId);
      if (reported === undefined) return [];
      const missingCount = models.filter((id) => !reported.includes(id)).length;
      const isUpToDate = missingCount === 0 && reported.length === models.length;
      if (isUpToDate || wasSentRecently(serverId) || !isResponsible(serverId)) return [];
      const placedModels = models.map((id) => ({
        id,
        version: configuration.models[id]?.version ?? '',
      }));
      return [{ poolId, serverId, models: placedModels, missingCount }];
    });
  }

  async function sendOrder({ poolId, serverId, models }: DueOrder): Promise<void> {
    const fencingNumber = options.getFencingNumber();
    sentAt.set(serverId, clock.now());
    // The event loop may have stalled since the check, so it is repeated right before the write.
    const maySend = () => options.getFencingNumber() === fencingNumber && isResponsible(serverId);
    const result = await options.send(
      poolId,
      serverId,
      { fencingNumber, models },
      maySend,
      ORDER_TIMEOUT_MS,
    );
    if (result?.kind === 'not-sent') sentAt.delete(serverId);
    logger.info('attempt to send a placement order ended', {
      backendServer: serverId,
      fencingNumber,
      models: models.map(({ id }) => id),
      outcome: result?.kind ?? 'unknown-server',
    });
  }

  async function reconcile(): Promise<void> {
    const configuration = getConfiguration();
    if (configuration === undefined) return;
    const due = listEntries(configuration.pools)
      .flatMap(([poolId]) => listDueOrders(configuration, poolId))
      // Engines that lack the largest share of their models come first: without any, they are idle.
      .sort((a, b) => b.missingCount / b.models.length - a.missingCount / a.models.length);
    for (const order of due) {
      const maySendNow = order.missingCount === 0 || limiter.tryAcquire();
      if (maySendNow) await sendOrder(order);
    }
  }

  options.supervisor.spawn('orders', async (signal) => {
    while (!signal.aborted) {
      await reconcile();
      await waitFor(clock, RECONCILE_INTERVAL_MS, signal);
    }
  });
  return { reconcile };
}
