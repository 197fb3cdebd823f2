import {
  createRandom,
  hostIdSchema,
  type Clock,
  type HostId,
  type PoolId,
  type ProcessId,
  type Random,
  type Supervisor,
} from '@endiveferry/base';
import {
  choosePeers,
  createAnnouncer,
  createPeerNetwork,
  type AcceptTunnel,
  type HandleHostRequest,
  type PeerNetwork,
} from '@endiveferry/peers';
import { parseAddress } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import { computeHostWeight } from './computeHostWeight.js';
import type { ConfigurationTracker } from '../store/createConfigurationTracker.js';
import { createReaderCheck } from './chooseStoreReaders.js';
import { createMembership, type Membership } from './createMembership.js';
import { createDispatcherOrder } from './createDispatcherOrder.js';
import { createPeerReader } from './createPeerReader.js';
import type { ServerList } from '../servers/createServerList.js';
import type { DualClock } from '../createDualClock.js';
import {
  configurationReplySchema,
  listedServerSchema,
  serverListReplySchema,
  relayHeartbeatCodec,
  type HeartbeatLoad,
  type RelayHeartbeat,
} from './messages.js';
import type { HostEnvironment } from '../HostEnvironment.js';
import type { WireProtocol } from '../ports.js';
import { isAfter } from '../StorePosition.js';

/** Time without data after which a connection with pending requests is closed, in milliseconds. */
const KEEPALIVE_TIMEOUT_MS = 900;
/** Share of the descriptors for connections of hosts that have not identified themselves. */
const UNIDENTIFIED_SHARE = 1 / 8;

/** Handles a request; undefined for an unknown kind. See {@link HandleHostRequest}. @public */
export type HandleFleetRequest = (
  ...request: Parameters<HandleHostRequest>
) => ReturnType<HandleHostRequest> | undefined;

/**
 * The relay hosts that this host knows of, and the links to them.
 *
 * @public
 */
export interface Fleet {
  readonly hostId: HostId;
  /**
   * Returns the hosts that may dispatch a pool's pieces, preferred ones first. This host is among
   * them unless it is stopping and another one is live.
   */
  listDispatchers(poolId: PoolId): readonly HostId[];
  /** Whether this host is the dispatcher of a pool. */
  readonly isDispatcher: (poolId: PoolId) => boolean;
  /** Whether this host reads the configuration from the store for all others. */
  readonly isStoreReader: () => boolean;
  /** Returns the number of known hosts, including this one and those that stopped seconds ago. */
  readonly countHosts: () => number;
  /** Returns the live hosts, this one among them. */
  readonly listLiveHosts: () => readonly HostId[];
  readonly listRecordHolders: Membership['listRecordHolders'];
  readonly request: PeerNetwork<RelayHeartbeat>['request'];
  readonly notify: PeerNetwork<RelayHeartbeat>['notify'];
  readonly openTunnel: PeerNetwork<RelayHeartbeat>['openTunnel'];
  readonly listCarriers: Membership['listCarriers'];
  /** Returns the last heartbeats of live hosts. */
  readonly listHeartbeats: () => readonly RelayHeartbeat[];
  /** Updates the links and sends a heartbeat immediately, after a change of local state. */
  announce(): void;
  /** Replaces all links, after an event loop stall. */
  renewLinks(): void;
  close(): Promise<void>;
}

/**
 * Options of {@link createFleet}.
 *
 * @public
 */
export interface FleetOptions {
  readonly environment: HostEnvironment;
  readonly processId: ProcessId;
  readonly clock: Clock;
  readonly dualClock: DualClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly protocol: Pick<WireProtocol, 'parseDocument'>;
  readonly configurationTracker: ConfigurationTracker;
  readonly servers: ServerList;
  readonly isStopping: () => boolean;
  readonly isCutOff: () => boolean;
  readonly acceptTunnel: AcceptTunnel;
  /** Builds the part of a heartbeat on dispatchers, on prompts, and on backend servers. */
  readonly buildLoad: () => HeartbeatLoad;
  /** Returns the pools whose pieces are run through a dispatcher. */
  readonly listStagePools: () => readonly PoolId[];
  /** Called with the heartbeats of other hosts. */
  readonly onHeartbeat: (heartbeat: RelayHeartbeat, from: HostId) => void;
  readonly handleRequest: HandleFleetRequest;
}

/**
 * Starts listening for other hosts and connects to the seeds. A host is identified by its IP
 * address; all hosts listen on the same port.
 *
 * @param options - see {@link FleetOptions}
 * @returns the fleet
 * @throws Error when the listening address is not available
 * @public
 */
export async function createFleet(options: FleetOptions): Promise<Fleet> {
  const { environment, clock, dualClock, logger, configurationTracker, servers } = options;
  const hostId = hostIdSchema.parse(environment.ip);
  const { port } = parseAddress(environment.peersAddress);
  const weight = computeHostWeight(environment);
  const seeds = environment.seeds
    .map((address) => hostIdSchema.parse(parseAddress(address).ip))
    .filter((id) => id !== hostId);
  const members = createMembership({
    hostId,
    clock,
    logger,
    random: options.random,
    onChange: () => updatePeersSoon(),
  });
  // While a fleet starts, hosts become known by the dozen, and each changes what to link to.
  const updatePeersSoon = createAnnouncer(clock, () => updatePeers());
  const { listDispatchers } = createDispatcherOrder({
    clock,
    self: { hostId, weight },
    listLive: members.listLive,
    isStopping: options.isStopping,
  });

  function buildHeartbeat(): RelayHeartbeat {
    const confirmedAgeMs = configurationTracker.confirmedAgeMs();
    return {
      processId: options.processId,
      availabilityZone: environment.availabilityZone,
      isStopping: options.isStopping(),
      isCutOff: options.isCutOff(),
      weight,
      version: configurationTracker.version(),
      ...(Number.isFinite(confirmedAgeMs) ? { confirmedAgeMs } : {}),
      serversEpoch: servers.position().epoch,
      serversRevision: servers.position().revision,
      hosts: members.listReported(),
      ...options.buildLoad(),
    };
  }

  /** Dispatchers exchange waiting times, so they are linked directly in a fleet of any size. */
  function listOtherDispatchers(): readonly HostId[] {
    const dispatchers = options
      .listStagePools()
      .flatMap((poolId) => listDispatchers(poolId)[0] ?? []);
    return dispatchers.includes(hostId) ? dispatchers.filter((id) => id !== hostId) : [];
  }

  /** Updates the links after a change of the known hosts. */
  function updatePeers(): void {
    const ids = [hostId, ...members.listKnown(), ...seeds];
    const chosen = choosePeers(
      hostId,
      new Map(ids.map((id) => [id, environment.availabilityZone])),
    );
    const linked = [...new Set([...chosen, ...listOtherDispatchers()])];
    members.setLinked(linked);
    network.setPeers(linked);
  }

  function receiveHeartbeat(
    id: HostId,
    heartbeat: RelayHeartbeat,
    requestedAt: number | undefined,
  ) {
    members.recordHeartbeat(id, heartbeat);
    options.onHeartbeat(heartbeat, id);
    if (requestedAt !== undefined && heartbeat.confirmedAgeMs !== undefined) {
      // The reported age counts from the request, so this is an upper bound.
      const confirmationAgeMs = clock.now() - requestedAt + heartbeat.confirmedAgeMs;
      configurationTracker.confirm(
        heartbeat.version,
        dualClock.subtract(dualClock.now(), confirmationAgeMs),
      );
    }
    if (heartbeat.version > configurationTracker.version()) void readConfiguration(id);
    const position = { epoch: heartbeat.serversEpoch, revision: heartbeat.serversRevision };
    if (isAfter(position, servers.position())) void readServers(id);
  }

  const createReader = createPeerReader({
    dualClock,
    logger,
    request: (...args) => network.request(...args),
  });
  const readConfiguration = createReader(
    'read-configuration',
    'the configuration',
    (body, from, requestedAt) => {
      const { text, confirmedAgeMs } = configurationReplySchema.parse(body);
      const document = options.protocol.parseDocument(text);
      if (document.isErr()) throw new Error(document.error);
      const age = confirmedAgeMs ?? Infinity;
      configurationTracker.apply(
        document.value,
        dualClock.subtract(requestedAt, age),
        `host ${from}`,
      );
    },
  );

  const readServers = createReader('read-servers', 'the list of backend servers', (body, from) => {
    const { servers: entries, ...position } = serverListReplySchema.parse(body);
    const listed = entries.flatMap((entry) => {
      const server = listedServerSchema.safeParse(entry);
      if (server.success) return [server.data];
      const [issue] = server.error.issues;
      const reason = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'malformed'}`;
      logger.warn('an entry of the backend server list is invalid', { peer: from, reason });
      return [];
    });
    if (isAfter(position, servers.position())) servers.replace(listed, position, `host ${from}`);
  });

  const requestHandlers: Partial<Record<string, () => Promise<unknown>>> = {
    'read-configuration': () => {
      const active = configurationTracker.current();
      if (active === undefined) return Promise.reject(new Error('no configuration is available'));
      const confirmedAgeMs = configurationTracker.confirmedAgeMs();
      return Promise.resolve({
        text: active.text,
        version: active.configuration.version,
        ...(Number.isFinite(confirmedAgeMs) ? { confirmedAgeMs } : {}),
      });
    },
    'read-servers': () =>
      Promise.resolve({ ...servers.position(), servers: servers.listEntries() }),
  };

  const network = await createPeerNetwork<RelayHeartbeat>({
    hostId,
    processId: options.processId,
    address: environment.peersAddress,
    maxUnidentified: Math.floor(environment.maxDescriptors * UNIDENTIFIED_SHARE),
    keys: () => undefined,
    clock,
    random: createRandom(options.random.nextInteger(2 ** 31)),
    logger,
    supervisor: options.supervisor,
    findAddress: (id) => `${id}:${port}`,
    isListed: () => true,
    codec: relayHeartbeatCodec,
    getHeartbeatIntervalMs: members.findIntervalMs,
    keepaliveTimeoutMs: KEEPALIVE_TIMEOUT_MS,
    acceptTunnel: options.acceptTunnel,
    buildHeartbeat,
    onHeartbeat: receiveHeartbeat,
    handleRequest: (from, kind, body, signal) =>
      requestHandlers[kind]?.() ??
      options.handleRequest(from, kind, body, signal) ??
      Promise.reject(new Error(`unknown request kind: ${kind}`)),
  });
  updatePeers();

  return {
    hostId,
    listDispatchers,
    isDispatcher: (poolId) => listDispatchers(poolId)[0] === hostId,
    isStoreReader: createReaderCheck(hostId, members.listLive, logger),
    listLiveHosts: () => [hostId, ...members.listLive().keys()],
    countHosts: () => 1 + members.countKnown(),
    listRecordHolders: members.listRecordHolders,
    request: (...args) => network.request(...args),
    notify: (...args) => network.notify(...args),
    openTunnel: (...args) => network.openTunnel(...args),
    listCarriers: members.listCarriers,
    listHeartbeats: members.listHeartbeats,
    announce() {
      updatePeers();
      network.sendHeartbeats();
    },
    renewLinks: () => network.renewLinks(),
    close: () => network.close(),
  };
}
