import type { Clock } from '@endiveferry/base';

import type { PieceGroup } from './WaitingGroup.js';

/** Time in which the weight of recorded demand falls to 1/e, in milliseconds: longer than a surge. */
const DECAY_MS = 30_000;
/**
 * Ratio of pieces above which a rank yields to a more urgent one. With 1.1, ranks of about equal
 * demand yield in a surge, and the load crate times 1.4 loses 0.03 of its credit.
 */
const MIN_RATIO = 1.3;
/**
 * The same for a rank that yields already, at a pool of later stages: there its demand falls because
 * its requests are rejected or wait before their first stage.
 */
const MIN_KEPT_RATIO = 0.9;

/**
 * Recent demand of each rank on a pool. A rank that asks for clearly more pieces than a more urgent
 * one yields to it under saturation: it gives up a small share of its own requests for a large
 * share of the other's.
 *
 * @public
 */
export interface RankDemand {
  /** Records the arrival of a group. */
  record(group: Pick<PieceGroup, 'rank' | 'pieceCount' | 'isEntry'>): void;
  /** Counts the more urgent ranks to which a rank yields. */
  countPreceding(rank: number): number;
  /** Finds the least urgent rank whose work a rank may have to wait for. */
  findLastPeer(rank: number): number;
}

/**
 * Creates the demand of a pool, initially none.
 *
 * @param clock - clock for the decay of recorded demand
 * @returns the demand
 * @public
 */
export function createRankDemand(clock: Clock): RankDemand {
  const piecesByRank = new Map<number, number>();
  /** Pairs of ranks of which the first yields to the second. */
  const yielding = new Set<string>();
  let receivesEntries = false;
  let decayedAt = clock.now();

  function decay(): void {
    const factor = Math.exp((decayedAt - clock.now()) / DECAY_MS);
    decayedAt = clock.now();
    for (const [rank, pieces] of piecesByRank) piecesByRank.set(rank, pieces * factor);
  }

  const yieldsTo = (rank: number, other: number) => {
    if (other >= rank) return false;
    const key = `${rank}/${other}`;
    const minRatio = yielding.has(key) && !receivesEntries ? MIN_KEPT_RATIO : MIN_RATIO;
    const isYielding = (piecesByRank.get(rank) ?? 0) > minRatio * (piecesByRank.get(other) ?? 0);
    if (isYielding) yielding.add(key);
    else yielding.delete(key);
    return isYielding;
  };

  return {
    record({ rank, pieceCount, isEntry }) {
      decay();
      receivesEntries ||= isEntry;
      piecesByRank.set(rank, (piecesByRank.get(rank) ?? 0) + pieceCount);
    },
    countPreceding: (rank) =>
      [...piecesByRank.keys()].filter((other) => yieldsTo(rank, other)).length,
    findLastPeer(rank) {
      const lessUrgent = [...piecesByRank.keys()].filter((other) => other > rank);
      // Without demand of less urgent ranks nothing is known about them, and all work counts.
      if (lessUrgent.length === 0) return Infinity;
      return Math.max(rank, ...lessUrgent.filter((other) => !yieldsTo(other, rank)));
    },
  };
}
