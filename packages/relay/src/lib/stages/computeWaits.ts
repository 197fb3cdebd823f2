import type { RankWait } from '../RankWait.js';
import type { StageCapacity } from '../RelayConfiguration.js';
import { estimateCallMs } from './estimateCallMs.js';
import type { WaitingGroup } from './WaitingGroup.js';

/**
 * Computes the waiting times of newly arriving groups, assuming full calls.
 *
 * @param waiting - the waiting groups
 * @param capacity - the pool's configured capacity
 * @param capacitySum - capacity of the replicas in use, in replicas of the configured speed
 * @returns the waiting times by rank, most urgent first
 * @internal
 */
export function computeWaits(
  waiting: readonly WaitingGroup[],
  capacity: StageCapacity,
  capacitySum: number,
): RankWait[] {
  const callMs = estimateCallMs(capacity, capacity.batch, 1);
  const pieceMs = callMs / capacity.batch / (capacitySum > 0 ? capacitySum : 1);
  const counts = new Map<number, number>();
  for (const { group, pieces } of waiting) {
    if (pieces.length === 0) continue;
    counts.set(group.rank, (counts.get(group.rank) ?? 0) + pieces.length);
  }
  let waitMs = 0;
  return [...counts]
    .sort(([first], [second]) => first - second)
    .map(([rank, count]) => {
      waitMs += count * pieceMs;
      return { rank, waitMs };
    });
}
