import type { ReplicaLimits } from './PieceDispatcher.js';
import type { ReplicaState } from './createReplicaStates.js';

/** Limits of replicas of which none has named one. @internal */
export const noLimits: ReplicaLimits = {
  isLimited: () => false,
  maySend: () => true,
  recordSent: () => undefined,
};

/** A replica in use, as far as its capacity is planned. */
type PlannedReplica = Pick<ReplicaState, 'server' | 'usualSlowness'>;

/** Lists the replicas on which work is planned: those without a limit, or else one of the others. */
function listPlanned(
  replicas: readonly PlannedReplica[],
  limits: ReplicaLimits,
): readonly PlannedReplica[] {
  const unlimited = replicas.filter((replica) => !limits.isLimited(replica.server().serverId));
  return unlimited.length > 0 ? unlimited : replicas.slice(0, 1);
}

/**
 * Sums the capacity on which waiting times are planned, of replicas without a limit, but at least
 * one if there are any.
 *
 * @param replicas - the replicas that are in use
 * @param limits - the limits that they have named
 * @returns the capacity, in replicas of the configured speed
 * @internal
 */
export function sumPlanned(replicas: readonly PlannedReplica[], limits: ReplicaLimits): number {
  return listPlanned(replicas, limits).reduce((sum, state) => sum + 1 / state.usualSlowness(), 0);
}

/**
 * Computes the slowness of the same replicas together.
 *
 * @param replicas - the replicas that are in use
 * @param limits - the limits that they have named
 * @returns the ratio of actual to configured duration of calls; 1 without replicas
 * @internal
 */
export function computePlannedSlowness(
  replicas: readonly PlannedReplica[],
  limits: ReplicaLimits,
): number {
  const count = listPlanned(replicas, limits).length;
  return count === 0 ? 1 : count / sumPlanned(replicas, limits);
}
