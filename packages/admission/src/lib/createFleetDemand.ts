import type { Clock, HostId, PoolId, WorkspaceId } from '@endiveferry/base';

import type { SlotDemand } from './createStageQueue.js';

/** A host whose last report is older counts as dead; the live hosts share its slots and limits. */
const DEMAND_VALIDITY_MS = 3_000;

/**
 * Demand of one host's callers, as reported to the other hosts.
 *
 * @public
 */
export interface HostDemand {
  readonly pools: readonly { readonly poolId: PoolId; readonly slots: readonly SlotDemand[] }[];
  readonly workspaces: readonly {
    readonly workspaceId: WorkspaceId;
    /** Offered requests per second. */
    readonly rate: number;
  }[];
}

/**
 * Last known demand on the entire fleet.
 *
 * @public
 */
export interface FleetDemand {
  recordDemand(hostId: HostId, demand: HostDemand): void;
  /** Lists the demand of each live host on a pool. */
  listPoolDemand(poolId: PoolId): ReadonlyMap<HostId, readonly SlotDemand[]>;
  /** Returns the number of live hosts, including this one. */
  readonly countHosts: () => number;
  /** Returns a host's share of a workspace's demand, from 0 to 1. */
  computeHostShare(hostId: HostId, workspaceId: WorkspaceId): number;
}

/**
 * Creates an empty view of the fleet's demand.
 *
 * @param clock - measures the age of reports
 * @returns the view
 * @public
 */
export function createFleetDemand(clock: Clock): FleetDemand {
  const reports = new Map<HostId, { readonly demand: HostDemand; readonly at: number }>();

  function listLiveHosts(): [HostId, HostDemand][] {
    const oldest = clock.now() - DEMAND_VALIDITY_MS;
    for (const [hostId, report] of reports) {
      if (report.at < oldest) reports.delete(hostId);
    }
    return [...reports].map(([hostId, { demand }]) => [hostId, demand]);
  }

  const getRate = (demand: HostDemand, workspaceId: WorkspaceId) =>
    demand.workspaces.find((workspace) => workspace.workspaceId === workspaceId)?.rate ?? 0;

  return {
    recordDemand: (hostId, demand) => reports.set(hostId, { demand, at: clock.now() }),
    listPoolDemand(poolId) {
      return new Map(
        listLiveHosts().map(([hostId, demand]) => [
          hostId,
          demand.pools.find((pool) => pool.poolId === poolId)?.slots ?? [],
        ]),
      );
    },
    countHosts: () => listLiveHosts().length,
    computeHostShare(hostId, workspaceId) {
      const rates = listLiveHosts().map(([id, demand]) => ({
        id,
        rate: getRate(demand, workspaceId),
      }));
      const total = rates.reduce((sum, { rate }) => sum + rate, 0);
      const own = rates.find(({ id }) => id === hostId)?.rate ?? 0;
      if (total === 0) return 1 / Math.max(1, rates.length);
      return own / total;
    },
  };
}
