import {
  createRandom,
  describeError,
  hostIdSchema,
  type Clock,
  type HostId,
  type ProcessId,
  type Random,
  type Supervisor,
} from '@endiveferry/base';
import { choosePeers, createPeerNetwork, type PeerNetwork } from '@endiveferry/peers';
import { parseAddress } from '@endiveferry/settings';
import type { Logger } from '@endiveferry/telemetry';

import type { Beliefs } from './createBeliefs.js';
import type { ServerList } from './createServerList.js';
import type { TrustClock } from './createTrustClock.js';
import {
  passedConfigurationSchema,
  passedServersSchema,
  relayHeartbeatCodec,
  type RelayHeartbeat,
} from './messages.js';
import type { HostPlace, WireProtocol } from './ports.js';

/** Waiting times, loads and news of the configuration are this fresh, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 400;
/** A host that was not heard for so long, in milliseconds, gets no work. */
const LIVE_MS = 1_500;
/** A host that nobody heard for so long, in milliseconds, is forgotten. */
const FORGET_MS = 10_000;
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
  /** Hosts that take work, this one included unless it stops. */
  readonly listLive: () => readonly HostId[];
  /** The most hosts that were seen at a time in the last seconds, this one included. */
  readonly countHosts: () => number;
  readonly request: PeerNetwork<RelayHeartbeat>['request'];
  /** What live hosts said last. */
  readonly listHeartbeats: () => readonly RelayHeartbeat[];
  /** Tells all hosts at once, because there is news. */
  announce(): void;
  /** Replaces all links, because this process stood still. */
  renew(): void;
  close(): Promise<void>;
}

/**
 * Options of the fleet.
 *
 * @public
 */
export interface FleetOptions {
  readonly place: HostPlace;
  readonly processId: ProcessId;
  readonly clock: Clock;
  readonly trustClock: TrustClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly protocol: Pick<WireProtocol, 'readDocument'>;
  readonly beliefs: Beliefs;
  readonly servers: ServerList;
  readonly isStopping: () => boolean;
  /** What this host tells of its dispatchers and of the engines that it uses. */
  readonly buildLoad: () => Pick<RelayHeartbeat, 'waits' | 'pending'>;
  readonly handleRequest: HandleFleetRequest;
}

interface KnownHost {
  heardAt: number;
  heartbeat: RelayHeartbeat | undefined;
  /** This host heard it itself, not by another one's word. */
  directAt: number;
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
  const { place, clock, trustClock, logger, beliefs, servers } = options;
  const hostId = hostIdSchema.parse(place.ip);
  const { port } = parseAddress(place.peersAddress);
  const known = new Map<HostId, KnownHost>();
  const seeds = place.seeds
    .map((address) => hostIdSchema.parse(parseAddress(address).ip))
    .filter((id) => id !== hostId);
  let isReadingConfiguration = false;
  let isReadingServers = false;

  function buildHeartbeat(): RelayHeartbeat {
    const confirmedAgeMs = beliefs.confirmedAgeMs();
    return {
      processId: options.processId,
      availabilityZone: place.availabilityZone,
      isStopping: options.isStopping(),
      version: beliefs.version(),
      ...(Number.isFinite(confirmedAgeMs) ? { confirmedAgeMs } : {}),
      serversRevision: servers.revision(),
      hosts: [...known].flatMap(([id, { directAt }]) =>
        clock.now() - directAt < LIVE_MS ? [id] : [],
      ),
      ...options.buildLoad(),
    };
  }

  function noteHost(id: HostId, heartbeat: RelayHeartbeat | undefined): void {
    if (id === hostId) return;
    const host = known.get(id) ?? {
      heardAt: clock.now(),
      heartbeat: undefined,
      directAt: -Infinity,
    };
    const wasKnown = known.has(id);
    known.set(id, host);
    host.heardAt = clock.now();
    if (heartbeat !== undefined) {
      host.heartbeat = heartbeat;
      host.directAt = clock.now();
    }
    if (!wasKnown) {
      logger.info('a host was found', { peer: id });
      updatePeers();
    }
  }

  function updatePeers(): void {
    for (const [id, { heardAt }] of known) {
      if (clock.now() - heardAt > FORGET_MS && !seeds.includes(id)) {
        known.delete(id);
        logger.info('a host is forgotten', { peer: id, unheardMs: FORGET_MS });
      }
    }
    const ids = [hostId, ...known.keys(), ...seeds];
    network.setPeers(choosePeers(hostId, new Map(ids.map((id) => [id, place.availabilityZone]))));
  }

  function receiveHeartbeat(id: HostId, heartbeat: RelayHeartbeat, askedAt: number | undefined) {
    noteHost(id, heartbeat);
    for (const other of heartbeat.hosts) noteHost(other, undefined);
    if (askedAt !== undefined && heartbeat.confirmedAgeMs !== undefined) {
      const elapsedMs = clock.now() - askedAt + heartbeat.confirmedAgeMs;
      beliefs.confirm(heartbeat.version, trustClock.goBack(trustClock.takeMoment(), elapsedMs));
    }
    if (heartbeat.version > beliefs.version()) void readConfiguration(id);
    if (heartbeat.serversRevision > servers.revision()) void readServers(id);
  }

  async function readConfiguration(from: HostId): Promise<void> {
    if (isReadingConfiguration) return;
    isReadingConfiguration = true;
    const askedAt = trustClock.takeMoment();
    try {
      const reply = await network.request(from, 'read-configuration', {}, READ_TIMEOUT_MS);
      if (reply.isErr()) throw new Error(reply.error.detail);
      const { text, confirmedAgeMs } = passedConfigurationSchema.parse(reply.value);
      const document = options.protocol.readDocument(text);
      if (document.isErr()) throw new Error(document.error);
      const age = confirmedAgeMs ?? Infinity;
      beliefs.adopt(document.value, trustClock.goBack(askedAt, age), `host ${from}`);
    } catch (error) {
      logger.warn('a configuration could not be read from a host', {
        peer: from,
        error: describeError(error),
      });
    } finally {
      isReadingConfiguration = false;
    }
  }

  async function readServers(from: HostId): Promise<void> {
    if (isReadingServers) return;
    isReadingServers = true;
    try {
      const reply = await network.request(from, 'read-servers', {}, READ_TIMEOUT_MS);
      if (reply.isErr()) throw new Error(reply.error.detail);
      const passed = passedServersSchema.parse(reply.value);
      if (passed.revision > servers.revision()) {
        servers.replace(passed.servers, passed.revision, `host ${from}`);
      }
    } catch (error) {
      logger.warn('the list of backend servers could not be read from a host', {
        peer: from,
        error: describeError(error),
      });
    } finally {
      isReadingServers = false;
    }
  }

  const requestHandlers: Partial<Record<string, () => Promise<unknown>>> = {
    'read-configuration': () => {
      const inForce = beliefs.current();
      if (inForce === undefined) return Promise.reject(new Error('no configuration is known'));
      const confirmedAgeMs = beliefs.confirmedAgeMs();
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
    address: place.peersAddress,
    keys: () => undefined,
    clock,
    random: createRandom(options.random.nextInteger(2 ** 31)),
    logger,
    supervisor: options.supervisor,
    findAddress: (id) => `${id}:${port}`,
    isListed: () => true,
    codec: relayHeartbeatCodec,
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    buildHeartbeat,
    onHeartbeat: receiveHeartbeat,
    handleRequest: (from, kind, body) =>
      requestHandlers[kind]?.() ??
      options.handleRequest(from, kind, body) ??
      Promise.reject(new Error(`relay hosts don't answer ${kind}`)),
  });
  updatePeers();

  const isLive = ({ heardAt }: KnownHost) => clock.now() - heardAt < LIVE_MS;

  return {
    hostId,
    listLive() {
      const others = [...known]
        .filter(([, host]) => isLive(host) && host.heartbeat?.isStopping !== true)
        .map(([id]) => id);
      return options.isStopping() && others.length > 0 ? others : [hostId, ...others];
    },
    countHosts: () => 1 + known.size,
    request: (...args) => network.request(...args),
    listHeartbeats: () =>
      [...known.values()].flatMap((host) =>
        isLive(host) && host.heartbeat !== undefined ? [host.heartbeat] : [],
      ),
    announce: () => network.sendHeartbeats(),
    renew: () => network.renewLinks(),
    close: () => network.close(),
  };
}
