import { createServerLimits, type ServerLimits } from '@endiveferry/admission';
import { hostIdSchema, type BackendServerId, type Clock, type PoolId } from '@endiveferry/base';
import {
  createEvacuatedZones,
  createLeavingServers,
  createServerList,
  createServerRamps,
  noRamps,
  createServerSignals,
  type EvacuatedZones,
  type Fleet,
  type HostEnvironment,
  type LeavingServers,
  type ListedServer,
  type RelayPool,
  type ServerList,
  type ServerRamps,
  type ServerSignals,
} from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

import type { Dispatchers } from './createDispatchers.js';
import { createServerWarmUps, type ServerWarmUps } from './createServerWarmUps.js';
import { listLimitSenders } from './listLimitSenders.js';

/**
 * What this host knows of the backend servers, from the store, their responses and other hosts.
 *
 * @internal
 */
export interface ServerStatus extends ServerWarmUps {
  readonly servers: ServerList;
  readonly leaving: LeavingServers;
  readonly evacuated: EvacuatedZones;
  readonly limits: ServerLimits;
  readonly ramps: ServerRamps;
  readonly signals: ServerSignals;
  /** Whether a server, as it was listed when it was chosen, may still get requests of this host. */
  readonly mayReceive: (server: ListedServer) => boolean;
  /**
   * The same immediately before a request is written to it; takes the request from this host's share
   * of a cold server.
   */
  readonly admitWrite: (server: ListedServer) => boolean;
  /** Whether a server may still get calls that free results. */
  readonly mayFree: (server: ListedServer) => boolean;
  /** Applies a changed list, and forgets what is known of servers that are not listed any more. */
  update(): void;
}

/** Options of {@link createServerStatus}. @internal */
export interface ServerStatusOptions {
  readonly environment: HostEnvironment;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly findFleet: () => Pick<Fleet, 'listDispatchers' | 'listLiveHosts'>;
  readonly findDispatchers: () => Pick<Dispatchers, 'find' | 'listPools'>;
  readonly findPool: (poolId: PoolId) => RelayPool | undefined;
  /** Whether this host shares connections to an address with other hosts. */
  readonly isShared: (address: string) => boolean;
  /** Called after each change of the servers that are listed or leaving. */
  readonly onChange: () => void;
  /** Called when other hosts should hear of a change without delay. */
  readonly announceSoon: () => void;
}

/**
 * Creates the knowledge of a host that has just started.
 *
 * @param options - see {@link ServerStatusOptions}
 * @returns the knowledge
 * @internal
 */
export function createServerStatus(options: ServerStatusOptions): ServerStatus {
  const { clock, logger, onChange, announceSoon } = options;
  function applyChange(): void {
    onChange();
    announceSoon();
  }

  const leaving = createLeavingServers({ clock, logger, onChange: applyChange });
  const evacuated = createEvacuatedZones({ clock, logger, onChange: applyChange });
  const { warmUps, stability } = createServerWarmUps(options);
  const servers = createServerList({ clock, logger, leaving, evacuated, warmUps, onChange });
  const hostId = hostIdSchema.parse(options.environment.ip);
  const listHosts = (serverId: BackendServerId) =>
    listLimitSenders(
      servers.find(serverId)?.poolId,
      options.findFleet(),
      options.findDispatchers(),
    );
  const createRamps = () =>
    createServerRamps({
      clock,
      logger,
      hostId,
      listHosts,
      countUnits({ poolId, slots }) {
        const stage = options.findPool(poolId)?.stage;
        return stage === undefined ? slots : stage.slots * stage.batch;
      },
      onReduced: announceSoon,
    });
  const ramps = options.environment.hasServerRamps === true ? createRamps() : noRamps;
  const limits = createServerLimits({
    clock,
    logger,
    hostId,
    listHosts,
    isShared(serverId) {
      const server = servers.find(serverId);
      return server !== undefined && options.isShared(server.address);
    },
    onChange: announceSoon,
  });
  const mayReceive = (server: ListedServer) =>
    servers.mayReceive(server) && limits.backoffs.findRemainingMs(server.serverId) === 0;
  return {
    servers,
    warmUps,
    stability,
    leaving,
    evacuated,
    limits,
    ramps,
    signals: createServerSignals({ logger, limits, leaving, warmUps, ramps }),
    mayReceive,
    admitWrite: (server) => mayReceive(server) && warmUps.tryWrite(server.serverId),
    mayFree: ({ serverId, availabilityZone }) =>
      !evacuated.has(availabilityZone) && !warmUps.isCold(serverId),
    update() {
      ramps.update(servers.list());
      const listed = servers.listEntries();
      limits.update(new Set(listed.map(({ serverId }) => serverId)));
      leaving.update(listed);
      warmUps.update(listed);
      evacuated.checkZones(new Set(listed.map(({ availabilityZone }) => availabilityZone)));
    },
  };
}
