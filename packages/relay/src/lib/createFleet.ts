import {
  computeWeightedOrder,
  createRandom,
  describeError,
  hostIdSchema,
  type Clock,
  type HostId,
  type PoolId,
  type ProcessId,
  type Random,
  type Supervisor,
} from '@endiveferry/base';
import { choosePeers, createPeerNetwork, type PeerNetwork } from '@endiveferry/peers';
import { parseAddress } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import { computeHostWeight } from './computeHostWeight.js';
import type { ConfigurationTracker } from './createConfigurationTracker.js';
import { createMembership } from './createMembership.js';
import type { ServerList } from './createServerList.js';
import type { DualTimestamp, DualClock } from './createDualClock.js';
import {
  configurationReplySchema,
  serverListReplySchema,
  relayHeartbeatCodec,
  type RelayHeartbeat,
  type ReportedWaits,
} from './messages.js';
import type { HostEnvironment, WireProtocol } from './ports.js';

/** A connection with requests in progress is given up after so long without a sign of life. */
const SILENCE_MS = 900;
/** An order of dispatchers is kept for so long, in milliseconds: it is asked for with each decision. */
const ORDER_VALID_MS = 50;
/** Time for reading a configuration or a list from another host, in milliseconds. */
const READ_TIMEOUT_MS = 2_000;

/** Does what other hosts ask; undefined for kinds that it does not know. @public */
export type HandleFleetRequest = (
  hostId: HostId,
  kind: string,
  body: unknown,
) => Promise<unknown> | undefined;

/**
 * The hosts of the system, as this one sees them.
 *
 * @public
 */
export interface Fleet {
  readonly hostId: HostId;
  /** Hosts that may gather the pieces of a pool, best first; this one is among them unless it stops. */
  listDispatchers(poolId: PoolId): readonly HostId[];
  /** Whether this host is the one that gathers a pool's pieces. */
  readonly isDispatcher: (poolId: PoolId) => boolean;
  /** The most hosts that were seen at a time in the last seconds, this one included. */
  readonly countHosts: () => number;
  readonly request: PeerNetwork<RelayHeartbeat>['request'];
  /** What live hosts said last. */
  readonly listHeartbeats: () => readonly RelayHeartbeat[];
  /** Tells all hosts at once, because there is news. */
  announce(): void;
  /** Replaces all links, because this process stood still. */
  renewLinks(): void;
  close(): Promise<void>;
}

/**
 * Options of the fleet.
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
  /** What this host tells of dispatchers and of the engines that it uses. */
  readonly buildLoad: () => Pick<RelayHeartbeat, 'waits' | 'pending'>;
  /** Pools whose pieces are gathered. */
  readonly listStagePools: () => readonly PoolId[];
  /** Takes what other hosts tell of waiting times. */
  readonly recordWaits: (told: ReportedWaits) => void;
  readonly handleRequest: HandleFleetRequest;
}

/**
 * Starts listening for other hosts and looks for them at the seeds. Hosts are known by their IP
 * number: all of them listen at the same port.
 *
 * @param options - see {@link FleetOptions}
 * @returns the fleet
 * @throws Error when the address cannot be used
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
    onChange: () => updatePeers(),
  });
  const orders = new Map<PoolId, { readonly at: number; readonly hosts: readonly HostId[] }>();

  function buildHeartbeat(): RelayHeartbeat {
    const confirmedAgeMs = configurationTracker.confirmedAgeMs();
    return {
      processId: options.processId,
      availabilityZone: environment.availabilityZone,
      isStopping: options.isStopping(),
      weight,
      version: configurationTracker.version(),
      ...(Number.isFinite(confirmedAgeMs) ? { confirmedAgeMs } : {}),
      serversRevision: servers.revision(),
      hosts: members.listTold(),
      ...options.buildLoad(),
    };
  }

  function listDispatchers(poolId: PoolId): readonly HostId[] {
    const known = orders.get(poolId);
    if (known !== undefined && clock.now() - known.at < ORDER_VALID_MS) return known.hosts;
    const hosts = sortDispatchers(poolId);
    orders.set(poolId, { at: clock.now(), hosts });
    return hosts;
  }

  function sortDispatchers(poolId: PoolId): readonly HostId[] {
    const live = new Map(members.listLive());
    if (!options.isStopping() || live.size === 0) live.set(hostId, weight);
    return computeWeightedOrder(poolId, live);
  }

  /** Dispatchers need each other's waiting times, so they are linked whatever the fleet's size. */
  function listOtherDispatchers(): readonly HostId[] {
    const dispatchers = options
      .listStagePools()
      .flatMap((poolId) => listDispatchers(poolId)[0] ?? []);
    return dispatchers.includes(hostId) ? dispatchers.filter((id) => id !== hostId) : [];
  }

  /** Links follow what is known of the fleet. */
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

  function receiveHeartbeat(id: HostId, heartbeat: RelayHeartbeat, askedAt: number | undefined) {
    members.noteHeartbeat(id, heartbeat);
    for (const told of heartbeat.waits) options.recordWaits(told);
    if (askedAt !== undefined && heartbeat.confirmedAgeMs !== undefined) {
      const elapsedMs = clock.now() - askedAt + heartbeat.confirmedAgeMs;
      configurationTracker.confirm(
        heartbeat.version,
        dualClock.subtract(dualClock.now(), elapsedMs),
      );
    }
    if (heartbeat.version > configurationTracker.version()) void readConfiguration(id);
    if (heartbeat.serversRevision > servers.revision()) void readServers(id);
  }

  /** Reads something whole from a host that has a newer one, one reading at a time. */
  function createReader(
    kind: 'read-configuration' | 'read-servers',
    what: string,
    take: (body: unknown, from: HostId, askedAt: DualTimestamp) => void,
  ): (from: HostId) => Promise<void> {
    let isReading = false;
    return async (from) => {
      if (isReading) return;
      isReading = true;
      const askedAt = dualClock.now();
      try {
        const reply = await network.request(from, kind, {}, READ_TIMEOUT_MS);
        if (reply.isErr()) throw new Error(reply.error.detail);
        take(reply.value, from, askedAt);
      } catch (error) {
        logger.warn(`${what} could not be read from a host`, {
          peer: from,
          error: describeError(error),
        });
      } finally {
        isReading = false;
      }
    };
  }

  const readConfiguration = createReader(
    'read-configuration',
    'a configuration',
    (body, from, askedAt) => {
      const { text, confirmedAgeMs } = configurationReplySchema.parse(body);
      const document = options.protocol.parseDocument(text);
      if (document.isErr()) throw new Error(document.error);
      const age = confirmedAgeMs ?? Infinity;
      configurationTracker.apply(document.value, dualClock.subtract(askedAt, age), `host ${from}`);
    },
  );

  const readServers = createReader('read-servers', 'the list of backend servers', (body, from) => {
    const passed = serverListReplySchema.parse(body);
    if (passed.revision > servers.revision()) {
      servers.replace(passed.servers, passed.revision, `host ${from}`);
    }
  });

  const requestHandlers: Partial<Record<string, () => Promise<unknown>>> = {
    'read-configuration': () => {
      const inForce = configurationTracker.current();
      if (inForce === undefined) return Promise.reject(new Error('no configuration is known'));
      const confirmedAgeMs = configurationTracker.confirmedAgeMs();
      return Promise.resolve({
        text: inForce.text,
        version: inForce.configuration.version,
        ...(Number.isFinite(confirmedAgeMs) ? { confirmedAgeMs } : {}),
      });
    },
    'read-servers': () =>
      Promise.resolve({ revision: servers.revision(), servers: servers.list() }),
  };

  const network = await createPeerNetwork<RelayHeartbeat>({
    hostId,
    processId: options.processId,
    address: environment.peersAddress,
    keys: () => undefined,
    clock,
    random: createRandom(options.random.nextInteger(2 ** 31)),
    logger,
    supervisor: options.supervisor,
    findAddress: (id) => `${id}:${port}`,
    isListed: () => true,
    codec: relayHeartbeatCodec,
    findHeartbeatIntervalMs: members.findIntervalMs,
    silenceMs: SILENCE_MS,
    buildHeartbeat,
    onHeartbeat: receiveHeartbeat,
    handleRequest: (from, kind, body) =>
      requestHandlers[kind]?.() ??
      options.handleRequest(from, kind, body) ??
      Promise.reject(new Error(`relay hosts don't answer ${kind}`)),
  });
  updatePeers();

  return {
    hostId,
    listDispatchers,
    isDispatcher: (poolId) => listDispatchers(poolId)[0] === hostId,
    countHosts: () => 1 + members.countKnown(),
    request: (...args) => network.request(...args),
    listHeartbeats: members.listHeartbeats,
    announce() {
      updatePeers();
      network.sendHeartbeats();
    },
    renewLinks: () => network.renewLinks(),
    close: () => network.close(),
  };
}
