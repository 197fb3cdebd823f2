import {
  createFleetStability,
  createWarmUpShares,
  type FleetStability,
} from '@endiveferry/admission';
import { hostIdSchema, type Clock, type PoolId } from '@endiveferry/base';
import {
  createWarmUps,
  type Fleet,
  type HostEnvironment,
  type RelayPool,
  type WarmUps,
} from '@endiveferry/relay';
import { parseAddress } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import type { Dispatchers } from './createDispatchers.js';

/** The cold servers, and what this host's shares of them follow from. @internal */
export interface ServerWarmUps {
  readonly warmUps: WarmUps;
  readonly stability: FleetStability;
}

/** Options of {@link createServerWarmUps}. @internal */
export interface ServerWarmUpsOptions {
  readonly environment: Pick<HostEnvironment, 'ip' | 'seeds' | 'warmUpOvershoot' | 'warmUpSlack'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly findFleet: () => Pick<Fleet, 'listDispatchers' | 'listLiveHosts'>;
  readonly findDispatchers: () => Pick<Dispatchers, 'find' | 'listPools'>;
  readonly findPool: (poolId: PoolId) => RelayPool | undefined;
  /** Called when other hosts should hear of a change without delay. */
  readonly announceSoon: () => void;
}

/**
 * Creates the knowledge of a host that has just started.
 *
 * @param options - see {@link ServerWarmUpsOptions}
 * @returns the knowledge
 * @internal
 */
export function createServerWarmUps(options: ServerWarmUpsOptions): ServerWarmUps {
  const { environment, clock, logger, findFleet, findDispatchers } = options;
  const hostId = hostIdSchema.parse(environment.ip);
  const stability = createFleetStability({
    clock,
    hostId,
    seeds: environment.seeds.map((address) => hostIdSchema.parse(parseAddress(address).ip)),
    listLive: () => findFleet().listLiveHosts(),
    listPreferred: () =>
      findDispatchers()
        .listPools()
        .map((poolId) => [poolId, findFleet().listDispatchers(poolId)[0]]),
  });
  const shares = createWarmUpShares({
    clock,
    hostId,
    stability,
    findBounds: () => ({
      overshoot: environment.warmUpOvershoot ?? 1,
      slack: environment.warmUpSlack ?? 0,
    }),
  });
  const warmUps = createWarmUps({
    clock,
    logger,
    shares,
    findPool: options.findPool,
    isDispatched: (poolId) => findDispatchers().find(poolId) !== undefined,
    wasDelayed: stability.wasDelayed,
    onChange: options.announceSoon,
  });
  return { warmUps, stability };
}
