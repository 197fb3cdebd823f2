import type { HostId, RankId, WorkspaceId } from '@endiveferry/base';

import type { RankPolicy, SlotDemand } from './createStageQueue.js';

/**
 * What is to be shared between hosts, and who wants it.
 *
 * @public
 */
export interface ApportionOptions {
  /** Calls that the whole pool can run at once. */
  readonly capacity: number;
  readonly ranks: readonly RankPolicy[];
  readonly findWeight: (workspaceId: WorkspaceId) => number;
  /** Each live host's demand, this host's included. */
  readonly demands: ReadonlyMap<HostId, readonly SlotDemand[]>;
}

/** Weighted max-min fairness: nobody gets more than wanted, the rest is shared by weight. */
function fillByWeight<Key>(
  amount: number,
  wants: ReadonlyMap<Key, number>,
  findWeight: (key: Key) => number,
): Map<Key, number> {
  const grants = new Map<Key, number>();
  let rest = amount;
  let open = [...wants.keys()];
  while (open.length > 0) {
    const weightSum = open.reduce((sum, key) => sum + findWeight(key), 0);
    const share = rest / weightSum;
    const sated = open.filter((key) => (wants.get(key) ?? 0) <= share * findWeight(key));
    if (sated.length === 0) {
      for (const key of open) grants.set(key, share * findWeight(key));
      break;
    }
    for (const key of sated) {
      const want = wants.get(key) ?? 0;
      grants.set(key, want);
      rest -= want;
    }
    open = open.filter((key) => !grants.has(key));
  }
  return grants;
}

/** Floors first, then what is left from the most urgent rank down. */
function shareByRank(
  capacity: number,
  ranks: readonly RankPolicy[],
  wants: ReadonlyMap<RankId, number>,
): { readonly grants: Map<RankId, number>; readonly spare: number } {
  const grants = new Map<RankId, number>();
  let rest = capacity;
  for (const { id, floorShare } of ranks) {
    const grant = Math.min(wants.get(id) ?? 0, floorShare * capacity);
    grants.set(id, grant);
    rest -= grant;
  }
  const mostUrgentFirst = [...ranks].sort((a, b) => a.order - b.order);
  for (const { id } of mostUrgentFirst) {
    const granted = grants.get(id) ?? 0;
    const extra = Math.min((wants.get(id) ?? 0) - granted, rest);
    grants.set(id, granted + extra);
    rest -= extra;
  }
  return { grants, spare: Math.max(0, rest) };
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
 * Shares a pool's slots between hosts by what each one's requests deserve: floors and ranks first,
 * then fair shares of workspaces over the whole fleet; what nobody wants is split evenly.
 *
 * @param options - see {@link ApportionOptions}
 * @returns the slots that each host may use, fractions included; they add up to the capacity
 * @public
 */
export function apportionSlots(options: ApportionOptions): ReadonlyMap<HostId, number> {
  const { capacity, ranks, findWeight, demands } = options;
  const wants = sumDemand(demands);
  const wantsByRank = new Map(
    [...wants].map(([rankId, byWorkspace]) => [
      rankId,
      [...byWorkspace.values()].reduce((sum, slots) => sum + slots, 0),
    ]),
  );
  const { grants, spare } = shareByRank(capacity, ranks, wantsByRank);
  const workspaceGrants = new Map(
    [...wants].map(([rankId, byWorkspace]) => [
      rankId,
      fillByWeight(grants.get(rankId) ?? 0, byWorkspace, findWeight),
    ]),
  );

  /** The part of what a rank and workspace get that falls to this much of their demand. */
  function computeEarned({ rankId, workspaceId, slots }: SlotDemand): number {
    const wanted = wants.get(rankId)?.get(workspaceId) ?? 0;
    const granted = workspaceGrants.get(rankId)?.get(workspaceId) ?? 0;
    return wanted > 0 ? (granted * slots) / wanted : 0;
  }

  const evenSpare = spare / Math.max(1, demands.size);
  return new Map(
    [...demands].map(([hostId, demand]) => [
      hostId,
      demand.reduce((sum, entry) => sum + computeEarned(entry), evenSpare),
    ]),
  );
}
