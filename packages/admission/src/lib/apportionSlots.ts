import type { HostId, RankId, WorkspaceId } from '@endiveferry/base';

import type { RankPolicy, SlotDemand } from './createStageQueue.js';

/**
 * Options of an apportionment of slots between hosts.
 *
 * @public
 */
export interface ApportionOptions {
  /** Number of calls that the entire pool can run concurrently. */
  readonly capacity: number;
  readonly ranks: readonly RankPolicy[];
  readonly getWeight: (workspaceId: WorkspaceId) => number;
  /** Demand of each live host, including this one. */
  readonly demands: ReadonlyMap<HostId, readonly SlotDemand[]>;
}

/** Allocates by weighted max-min fairness: shares by weight, none larger than its demand. */
function allocateByWeight<Key>(
  amount: number,
  demands: ReadonlyMap<Key, number>,
  getWeight: (key: Key) => number,
): Map<Key, number> {
  const grants = new Map<Key, number>();
  let remaining = amount;
  let unsatisfied = [...demands.keys()];
  while (unsatisfied.length > 0) {
    const weightSum = unsatisfied.reduce((sum, key) => sum + getWeight(key), 0);
    const share = remaining / weightSum;
    const satisfied = unsatisfied.filter(
      (key) => (demands.get(key) ?? 0) <= share * getWeight(key),
    );
    if (satisfied.length === 0) {
      for (const key of unsatisfied) grants.set(key, share * getWeight(key));
      break;
    }
    for (const key of satisfied) {
      const demand = demands.get(key) ?? 0;
      grants.set(key, demand);
      remaining -= demand;
    }
    unsatisfied = unsatisfied.filter((key) => !grants.has(key));
  }
  return grants;
}

/** Allocates the floors of all ranks, then the remaining slots in order of urgency. */
function allocateByRank(
  capacity: number,
  ranks: readonly RankPolicy[],
  demands: ReadonlyMap<RankId, number>,
): { readonly grants: Map<RankId, number>; readonly spare: number } {
  const grants = new Map<RankId, number>();
  let remaining = capacity;
  for (const { id, floorShare } of ranks) {
    const grant = Math.min(demands.get(id) ?? 0, floorShare * capacity);
    grants.set(id, grant);
    remaining -= grant;
  }
  const mostUrgentFirst = [...ranks].sort((a, b) => a.order - b.order);
  for (const { id } of mostUrgentFirst) {
    const granted = grants.get(id) ?? 0;
    const extra = Math.min((demands.get(id) ?? 0) - granted, remaining);
    grants.set(id, granted + extra);
    remaining -= extra;
  }
  return { grants, spare: Math.max(0, remaining) };
}

function sumDemand(
  demands: ReadonlyMap<HostId, readonly SlotDemand[]>,
): Map<RankId, Map<WorkspaceId, number>> {
  const sums = new Map<RankId, Map<WorkspaceId, number>>();
  for (const { rankId, workspaceId, slots } of [...demands.values()].flat()) {
    const workspaces = sums.get(rankId) ?? new Map<WorkspaceId, number>();
    sums.set(rankId, workspaces);
    workspaces.set(workspaceId, (workspaces.get(workspaceId) ?? 0) + slots);
  }
  return sums;
}

/**
 * Apportions a pool's slots between hosts by the demand of each. Slots are allocated to ranks,
 * floors first, then to workspaces by fair shares over the entire fleet; slots without demand are
 * split evenly.
 *
 * @param options - see {@link ApportionOptions}
 * @returns the number of slots of each host, possibly fractional; the sum is the capacity
 * @public
 */
export function apportionSlots(options: ApportionOptions): ReadonlyMap<HostId, number> {
  const { capacity, ranks, getWeight, demands } = options;
  const totalDemand = sumDemand(demands);
  const demandByRank = new Map(
    [...totalDemand].map(([rankId, byWorkspace]) => [
      rankId,
      [...byWorkspace.values()].reduce((sum, slots) => sum + slots, 0),
    ]),
  );
  const { grants, spare } = allocateByRank(capacity, ranks, demandByRank);
  const workspaceGrants = new Map(
    [...totalDemand].map(([rankId, byWorkspace]) => [
      rankId,
      allocateByWeight(grants.get(rankId) ?? 0, byWorkspace, getWeight),
    ]),
  );

  /** Computes a host's part of its workspace's grant, in proportion to its demand. */
  function computeGrant({ rankId, workspaceId, slots }: SlotDemand): number {
    const demanded = totalDemand.get(rankId)?.get(workspaceId) ?? 0;
    const granted = workspaceGrants.get(rankId)?.get(workspaceId) ?? 0;
    return demanded > 0 ? (granted * slots) / demanded : 0;
  }

  const evenSpare = spare / Math.max(1, demands.size);
  return new Map(
    [...demands].map(([hostId, demand]) => [
      hostId,
      demand.reduce((sum, entry) => sum + computeGrant(entry), evenSpare),
    ]),
  );
}
