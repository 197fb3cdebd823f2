import {
  createNotRunFailure,
  type BackendServerId,
  type Failure,
  type PoolId,
} from '@endiveferry/base';

import type { ReplicaStates } from './createReplicaStates.js';

/** Retry delay while no replica may be used, in milliseconds. */
const RETRY_MS = 2_000;

/**
 * Rejects groups that no replica will take, because those that stay are all in evacuated
 * availability zones, or cold while this host has no share of their rate. Waiting would not help:
 * an evacuation has no known end, and other hosts hold the shares.
 *
 * @param poolId - the pool
 * @param replicas - its replicas
 * @param hasShare - whether this host may use a replica at some rate; by default it may
 * @returns the rejection; undefined when some replica may take pieces, now or later
 * @internal
 */
export function rejectUnusable(
  poolId: PoolId,
  replicas: Pick<ReplicaStates, 'list'>,
  hasShare: (serverId: BackendServerId) => boolean = () => true,
): Failure | undefined {
  const staying = replicas
    .list()
    .map((state) => state.server())
    .filter(({ isLeaving }) => !isLeaving);
  const usable = staying.filter(({ isEvacuated }) => isEvacuated !== true);
  if (staying.length === 0 || usable.some(({ serverId }) => hasShare(serverId))) return undefined;
  return createNotRunFailure(
    'overloaded',
    usable.length === 0
      ? `all replicas of pool ${poolId} are in evacuated availability zones or leaving`
      : `all replicas of pool ${poolId} are warming up, and this host has no share of their rate`,
    RETRY_MS,
  );
}
