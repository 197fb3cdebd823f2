import type { HostId, PoolId } from '@endiveferry/base';
import type { Fleet } from '@endiveferry/relay';

import type { Dispatchers } from './createDispatchers.js';

/**
 * Returns the hosts that share the limit of a backend server: only its dispatcher sends calls to the
 * replicas of a stage, any live host to others.
 *
 * @param poolId - the pool of the server; undefined when it is not listed
 * @param fleet - the known hosts
 * @param dispatchers - the dispatchers of stages
 * @returns the hosts, preferred ones first
 * @internal
 */
export function listLimitSenders(
  poolId: PoolId | undefined,
  fleet: Pick<Fleet, 'listDispatchers'>,
  dispatchers: Pick<Dispatchers, 'find'>,
): readonly HostId[] {
  if (poolId === undefined) return [];
  const hosts = fleet.listDispatchers(poolId);
  return dispatchers.find(poolId) === undefined ? hosts : hosts.slice(0, 1);
}
