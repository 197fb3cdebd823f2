import type { Clock, Random } from '@endiveferry/base';
import {
  connectSocket,
  createBackends,
  createServerPaths,
  createTunnels,
  type Backends,
  type Fleet,
  type ServerList,
  type ServerPaths,
  type Tunnels,
} from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

/** The backend servers, and how this host reaches them. @internal */
export interface ServerAccess {
  readonly backends: Backends;
  readonly paths: ServerPaths;
  readonly tunnels: Tunnels;
}

/** Options of {@link createServerAccess}. @internal */
export interface ServerAccessOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly servers: ServerList;
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
    random,
    logger,
    findFleet,
    isListed: (address) =>
      servers.list().some((server) => server.address === address && !server.isLeaving),
    mayCarry: (address) => !isStopping() && !paths.isCut(address),
  });
  const paths: ServerPaths = createServerPaths({
    clock,
    random,
    logger,
    openTunnel: (address) => tunnels.open(address),
    connect: connectSocket,
    listAddresses,
    renewConnections: (address) => backends.renewConnections(address),
    onChange: () => findFleet().announce(),
  });
  const backends = createBackends({
    clock,
    random,
    logger,
    countHosts: () => findFleet().countHosts(),
    paths,
  });
  return { backends, paths, tunnels };
}
