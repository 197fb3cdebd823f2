import type { Clock, HostId } from '@endiveferry/base';
import {
  createWorkspaceLimiter,
  type FleetDemand,
  type WorkspaceLimiter,
} from '@endiveferry/admission';
import { isFullyLinked } from '@endiveferry/peers';

import type { ControlState } from './createControlState.js';

/** Options of {@link createFleetLimiter}. @internal */
export interface FleetLimiterOptions {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly control: Pick<ControlState, 'configuration' | 'listHosts'>;
  readonly fleetDemand: FleetDemand;
}

/**
 * Creates the limiter of workspaces, with this host's share of their limits.
 *
 * @param options - see {@link FleetLimiterOptions}
 * @returns the limiter
 * @internal
 */
export function createFleetLimiter(options: FleetLimiterOptions): WorkspaceLimiter {
  const { hostId, clock, control, fleetDemand } = options;

  /** Fraction of the fleet's hosts that report their demand to this host, from 0 to 1. */
  function computeReportingShare(): number {
    const hostCount = control.listHosts().size;
    if (isFullyLinked(hostCount)) return 1;
    return Math.min(1, fleetDemand.countHosts() / hostCount);
  }

  return createWorkspaceLimiter({
    clock,
    getLimits: (id) => control.configuration()?.workspaces[id]?.limits ?? {},
    getHostShare: (id) => fleetDemand.computeHostShare(hostId, id) * computeReportingShare(),
  });
}
