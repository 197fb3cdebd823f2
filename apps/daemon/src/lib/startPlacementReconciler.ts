import type { Clock, Supervisor } from '@endiveferry/base';
import type { Claims } from '@endiveferry/claims';
import { createPlacementReconciler } from '@endiveferry/orders';
import type { PoolSet } from '@endiveferry/pipeline';
import type { Logger } from '@endiveferry/telemetry';

import type { ControlState } from './createControlState.js';

/** Dependencies of the placement reconciler. @internal */
export interface PlacementDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly claims: Claims;
  readonly control: ControlState;
  readonly pools: PoolSet;
}

/**
 * Starts the reconciler that orders each model engine to hold the models placed on it.
 *
 * @param dependencies - see {@link PlacementDependencies}
 * @internal
 */
export function startPlacementReconciler(dependencies: PlacementDependencies): void {
  const { clock, logger, supervisor, claims, control, pools } = dependencies;
  createPlacementReconciler({
    clock,
    logger,
    supervisor,
    view: claims.view,
    getFencingNumber: control.hostListRevision,
    getConfiguration: control.configuration,
    countHosts: () => control.listHosts().size,
    getReportedModels: (poolId, serverId) =>
      pools.findPool(poolId)?.router.getReportedModels(serverId),
    async send(poolId, serverId, order, maySend, timeoutMs) {
      const signal = AbortSignal.timeout(timeoutMs);
      const call = { method: 'POST', path: '/v1/orders', body: order, maySend, signal } as const;
      return pools.findPool(poolId)?.router.sendTo(serverId, { ...call, usesNewConnection: true });
    },
  });
}
