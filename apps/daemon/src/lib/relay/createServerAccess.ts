import type { Clock, Random } from '@endiveferry/base';
import {
  connectSocket,
  createBackends,
  createServerPaths,
  createTunnels,
  type Backends,
  type Fleet,
  type ListedServer,
  type ServerList,
  type ServerPaths,
  type ServerRamps,
  type Tunnels,
} from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

/** The backend servers, and how this host reaches them. @internal */
export interface ServerAccess {
  readonly backends: Backends;
  readonly paths: ServerPaths;
  readonly tunnels: Tunnels;
  /** Whether this host reaches an address through another one, or carries connections to it. */
  readonly isShared: (address: string) => boolean;
}

/** Options of {@link createServerAccess}. @internal */
export interface ServerAccessOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly servers: ServerList;
  /** Whether a server may get requests of this host. */
  readonly mayReceive: (server: ListedServer) => boolean;
  readonly ramps: ServerRamps;
  readonly findFleet: () => Fleet;
  readonly isStopping: () => boolean;
}

/**
 * Creates the access to backend servers, without any server.
 *
 * @param options - see {@link ServerAccessOptions}
 * @returns the access
 * @internal
 */
export function createServerAccess(options: ServerAccessOptions): ServerAccess {
  const { clock, random, logger, servers, findFleet, isStopping } = options;
  const listAddresses = () => servers.list().map(({ address }) => address);
  const tunnels = createTunnels({
    clock,
    random,
    logger,
    findFleet,
    isListed: (address) =>
      servers.list().some((server) => server.address === address && options.mayReceive(server)),
    mayCarry: (address) => !isStopping() && !paths.isCut(address),
    renewConnections: (address) => backends.renewConnections(address),
  });
  const paths: ServerPaths = createServerPaths({
    clock,
    random,
    logger,
    openTunnel: (address) => tunnels.open(address),
    connect: connectSocket,
    listAddresses,
    mayCheck: (address) =>
      !servers.list().some((server) => server.address === address && server.isEvacuated),
    renewConnections: (address) => backends.renewConnections(address),
    onChange: () => findFleet().announce(),
  });
  const backends = createBackends({
    clock,
    random,
    logger,
    countHosts: () => findFleet().countHosts(),
    paths,
    ramps: options.ramps,
  });
  const isShared = (address: string) => paths.isCut(address) || tunnels.isCarrying(address);
  return { backends, paths, tunnels, isShared };
}
