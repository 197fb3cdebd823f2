import {
  createSupervisor,
  hostIdSchema,
  processIdSchema,
  availabilityZoneIdSchema,
  createRandom,
  type AvailabilityZoneId,
  type Clock,
  type HostId,
  type Random,
} from '@endiveferry/base';
import { choosePeers, createPeerNetwork, type PeerNetwork } from '@endiveferry/peers';
import { createLogger } from '@endiveferry/telemetry';

/** Interval between heartbeats of a host of a large fleet, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 1_000;
const REPORTED_HOSTS = 16;
const PIECES_TIMEOUT_MS = 5_000;
const HOSTS_PER_SUBNET = 250;
const ZONE_COUNT = 5;

/** What simulated hosts know of the list of backend servers. @internal */
export interface SimulatedServerList {
  /** Returns the revision of the list that hosts have read. */
  readonly findRevision: () => number;
  /** Returns the list, as hosts hand it to each other. */
  readonly list: () => readonly unknown[];
}

/** Options of {@link startSimulatedPeers}. @internal */
export interface SimulatedPeersOptions {
  /** The host that is measured. */
  readonly hostId: HostId;
  /** Number of other hosts. */
  readonly count: number;
  readonly port: number;
  readonly clock: Clock;
  readonly servers: SimulatedServerList;
  /** Weight of each in the choice of dispatchers. */
  readonly weight: number;
  /** Runs the pieces of a stage, as a dispatcher does. */
  readonly runPieces: (body: unknown) => unknown;
}

/** Hosts that only answer and link as a host of the product does. @internal */
export interface SimulatedPeers {
  /** Addresses of the hosts that a new host contacts first. */
  readonly seeds: readonly string[];
  /** Sends a group of pieces to the measured host; returns whether it was answered. */
  readonly sendPieces: (body: unknown) => Promise<boolean>;
  close(): Promise<void>;
}

const buildHostId = (index: number) =>
  hostIdSchema.parse(
    `127.0.${1 + Math.floor(index / HOSTS_PER_SUBNET)}.${1 + (index % HOSTS_PER_SUBNET)}`,
  );

const buildZone = (index: number) =>
  availabilityZoneIdSchema.parse(
    index % ZONE_COUNT === 0 ? 'zone-a' : `zone-${index % ZONE_COUNT}`,
  );

/** Lists some hosts, as the heartbeat of a host of a large fleet does. */
function listReported(ids: readonly HostId[], random: Random, weight: number) {
  const first = random.nextInteger(ids.length);
  return [...ids.slice(first), ...ids.slice(0, first)]
    .slice(0, REPORTED_HOSTS)
    .map((id) => [id, random.nextInteger(HEARTBEAT_INTERVAL_MS), false, weight]);
}

/**
 * Starts simulated hosts on loopback addresses. They all know each other; those whose links lead to
 * the measured host open them.
 *
 * @param options - see {@link SimulatedPeersOptions}
 * @returns the hosts, listening
 * @throws Error when an address cannot be bound
 * @internal
 */
export async function startSimulatedPeers(options: SimulatedPeersOptions): Promise<SimulatedPeers> {
  const { hostId, clock, servers, weight } = options;
  const random = createRandom(1);
  const ids = Array.from({ length: options.count }, (_, index) => buildHostId(index));
  const zones = new Map<HostId, AvailabilityZoneId>([
    [hostId, buildZone(0)],
    ...ids.map((id, index) => [id, buildZone(index)] as const),
  ]);
  const logger = createLogger(hostId, 'error');
  const supervisor = createSupervisor('simulated', { clock, onCrash: () => undefined });
  const requestHandlers: Partial<Record<string, (body: unknown) => unknown>> = {
    'read-servers': () => ({ epoch: 1, revision: servers.findRevision(), servers: servers.list() }),
    'run-pieces': options.runPieces,
    'free-results': () => true,
    'inputs-fetched': () => true,
    'cancel-pieces': () => true,
  };

  function startPeer(id: HostId, index: number): Promise<PeerNetwork<unknown>> {
    const processId = processIdSchema.parse(index.toString(16).padStart(12, '0'));
    return createPeerNetwork<unknown>({
      hostId: id,
      processId,
      address: `${id}:${options.port}`,
      keys: () => undefined,
      clock,
      random,
      logger,
      supervisor: supervisor.createChild(id),
      findAddress: (other) => `${other}:${options.port}`,
      isListed: () => true,
      codec: { parse: (body) => body, compact: (body) => body },
      getHeartbeatIntervalMs: () => HEARTBEAT_INTERVAL_MS,
      buildHeartbeat: () => ({
        processId,
        availabilityZone: zones.get(id),
        isStopping: false,
        isCutOff: false,
        weight,
        version: 0,
        serversEpoch: 1,
        serversRevision: servers.findRevision(),
        hosts: listReported(ids, random, weight),
        waits: [],
        pending: [],
        suspects: [],
        limits: [],
        backoffs: [],
        leaving: [],
        versions: { knownMs: 0, versions: [] },
      }),
      onHeartbeat: () => undefined,
      handleRequest: (_from, kind, body) =>
        Promise.resolve(requestHandlers[kind]?.(body) ?? Promise.reject(new Error(kind))),
    });
  }

  const networks = await Promise.all(ids.map(startPeer));
  for (const [index, network] of networks.entries()) {
    const id = ids[index];
    if (id !== undefined && choosePeers(id, zones).includes(hostId)) network.setPeers([hostId]);
  }
  return {
    async sendPieces(body) {
      const network = networks[random.nextInteger(networks.length)];
      const reply = await network?.request(hostId, 'run-pieces', body, PIECES_TIMEOUT_MS);
      return reply?.isOk() === true;
    },
    seeds: ids.slice(0, 3).map((id) => `${id}:${options.port}`),
    async close() {
      await Promise.all(networks.map((network) => network.close()));
      await supervisor.stop();
    },
  };
}
