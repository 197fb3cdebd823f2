import type { Clock, HostId, PoolId, WorkspaceId } from '@endiveferry/base';

import type { SlotDemand } from './createStageQueue.js';

/** A host that has been quiet for longer counts as gone, and its part is shared by the rest. */
const DEMAND_VALIDITY_MS = 3_000;

/**
 * What one host's callers want, as it tells the other hosts.
 *
 * @public
 */
export interface HostDemand {
  readonly pools: readonly { readonly poolId: PoolId; readonly slots: readonly SlotDemand[] }[];
  readonly workspaces: readonly {
    readonly workspaceId: WorkspaceId;
    /** Requests offered a second. */
    readonly rate: number;
  }[];
}

/**
 * The demand on the whole fleet, as far as this host has heard.
 *
 * @public
 */
export interface FleetDemand {
  recordDemand(hostId: HostId, demand: HostDemand): void;
  /** Each live host's demand on a pool. */
  listPoolDemand(poolId: PoolId): ReadonlyMap<HostId, readonly SlotDemand[]>;
  /** Hosts whose demand is known, this one included. */
  readonly countHosts: () => number;
  /** A host's share of a workspace's demand, from 0 to 1. */
  findShare(hostId: HostId, workspaceId: WorkspaceId): number;
}

/**
 * Creates a view that has heard nothing yet.
 *
 * @param clock - tells how old a report is
 * @returns the view
 * @public
 */
export function createFleetDemand(clock: Clock): FleetDemand {
  const reports = new Map<HostId, { readonly demand: HostDemand; readonly at: number }>();

  function listLive(): [HostId, HostDemand][] {
    const oldest = clock.now() - DEMAND_VALIDITY_MS;
    for (const [hostId, report] of reports) {
      if (report.at < oldest) reports.delete(hostId);
    }
    return [...reports].map(([hostId, { demand }]) => [hostId, demand]);
  }

  const findRate = (demand: HostDemand, workspaceId: WorkspaceId) =>
    demand.workspaces.find((workspace) => workspace.workspaceId === workspaceId)?.rate ?? 0;

  return {
    recordDemand: (hostId, demand) => reports.set(hostId, { demand, at: clock.now() }),
    listPoolDemand(poolId) {
      return new Map(
        listLive().map(([hostId, demand]) => [
          hostId,
          demand.pools.find((pool) => pool.poolId === poolId)?.slots ?? [],
        ]),
      );
    },
    countHosts: () => listLive().length,
    findShare(hostId, workspaceId) {
      const rates = listLive().map(([id, demand]) => ({
        id,
        rate: findRate(demand, workspaceId),
      }));
      const total = rates.reduce((sum, { rate }) => sum + rate, 0);
      const own = rates.find(({ id }) => id === hostId)?.rate ?? 0;
      if (total === 0) return 1 / Math.max(1, rates.length);
      return own / total;
    },
  };
}
