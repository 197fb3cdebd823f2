import { randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  backendServerIdSchema,
  createRandom,
  createSystemClock,
  findFreePort,
  hostIdSchema,
} from '@endiveferry/base';
import {
  createBackendStandIn,
  createStoreStandIn,
  decodeServer,
  shopCallsConfiguration,
  startHostProcess,
  type BackendStandIn,
  type HostProcess,
  type StoreStandIn,
} from '@endiveferry/platform';
import type { ListedServer } from '@endiveferry/relay';
import { z } from 'zod';

import { startSimulatedPeers, type SimulatedPeers } from './startSimulatedPeers.js';

const HOST_IP = '127.0.0.1';
const TARGET = fileURLToPath(new URL('../../../../../target/', import.meta.url));
const GRACE_SECONDS = 8;
const STREAM_EVENTS = 40;
const EVENT_INTERVAL_MS = 12;
const STAGE_CALL_MS = 20;
/** Time within which all servers register after the start, in milliseconds. */
const REGISTRATION_MS = 4_000;
/** Services of the servers, in turn. */
const SERVICES = ['llm', 'pack', 'llm', 'pack', 'orders'] as const;
/** Weight in the choice of dispatchers of hosts that are never and always preferred. */
const LIGHT_WEIGHT = 1e-6;
const HEAVY_WEIGHT = 1e6;

/** Size of the fleet around a measured host. @internal */
export interface WorldSize {
  /** Number of other hosts. */
  readonly peers: number;
  /** Number of backend servers. */
  readonly servers: number;
  /** Whether the measured host runs the pieces of stages itself. */
  readonly isDispatcher: boolean;
  /** Options of the JavaScript runtime; by default those of the deploy file. */
  readonly runtimeOptions?: readonly string[];
}

/** One host in a process of its own, among stand-ins of all else. @internal */
export interface HostWorld {
  readonly host: HostProcess;
  /** Sends a group of pieces to the host as another host does; returns whether it was answered. */
  readonly sendPieces: SimulatedPeers['sendPieces'];
  /** Returns the number of calls that the store has received. */
  readonly countStoreCalls: () => number;
  close(): Promise<void>;
}

/** Returns the options of the runtime, which the code cache of the bundle fits. */
const readRuntimeOptions = () =>
  z.array(z.string()).parse(JSON.parse(readFileSync(join(TARGET, 'runtime-options.json'), 'utf8')));

/** Follows the entries of servers, as simulated hosts hand them on. */
function createServerRegistry() {
  const servers: ListedServer[] = [];
  let revision = 0;
  return {
    record(serverId: string, entry: string, writtenAt: number) {
      const server = decodeServer(backendServerIdSchema.parse(serverId), entry);
      if (server.isOk()) servers.push(server.value);
      revision = writtenAt;
    },
    findRevision: () => revision,
    list: () => servers,
  };
}

/** Answers as the dispatcher of a pool that has no pieces waiting. */
function runPieces(body: unknown) {
  const { pieceCount } = body as { readonly pieceCount: number };
  const results = Array.from({ length: pieceCount }, (_, index) => ({
    serverId: 'pack-0',
    handle: `127.0.0.1:9/piece-${index}`,
  }));
  return { byRank: [], outcome: { kind: 'made', results } };
}

/**
 * Starts a host in a process of its own, as all of a fleet start at once: the other hosts are there,
 * servers register during the first seconds.
 *
 * @param size - see {@link WorldSize}
 * @returns the world
 * @throws Error when a process or listener cannot be started
 * @internal
 */
export async function startHostWorld(size: WorldSize): Promise<HostWorld> {
  const clock = createSystemClock();
  const random = createRandom(randomInt(2 ** 31));
  const [port, callersPort, readinessPort] = [
    await findFreePort(random),
    await findFreePort(random),
    await findFreePort(random),
  ];
  const store = await createStoreStandIn();
  const registry = createServerRegistry();
  const recordingStore: StoreStandIn = {
    ...store,
    put(key, text) {
      const revision = store.put(key, text);
      registry.record(key.slice(key.indexOf('/') + 1), text, revision);
      return revision;
    },
  };
  const peers = await startSimulatedPeers({
    hostId: hostIdSchema.parse(HOST_IP),
    count: size.peers,
    port,
    clock,
    servers: registry,
    weight: size.isDispatcher ? LIGHT_WEIGHT : HEAVY_WEIGHT,
    runPieces,
  });
  const standIns: BackendStandIn[] = [];
  const addServer = async (index: number) => {
    const service = SERVICES[index % SERVICES.length] ?? 'llm';
    standIns.push(
      await createBackendStandIn({
        serverId: `${service}-${index}`,
        service,
        store: recordingStore,
        events: STREAM_EVENTS,
        eventIntervalMs: EVENT_INTERVAL_MS,
        stageCallMs: STAGE_CALL_MS,
      }),
    );
  };
  store.put('op/config', JSON.stringify(shopCallsConfiguration));
  const host = await startHostProcess({
    program: join(TARGET, 'endiveferryd.cjs'),
    runtimeOptions: size.runtimeOptions ?? readRuntimeOptions(),
    storeAddress: store.address,
    ip: HOST_IP,
    peersPort: port,
    callersPort,
    readinessPort,
    seeds: peers.seeds,
    graceSeconds: GRACE_SECONDS,
  });
  const timers = Array.from({ length: size.servers }, (_, index) =>
    setTimeout(() => void addServer(index), random.nextInteger(REGISTRATION_MS)),
  );
  return {
    host,
    sendPieces: peers.sendPieces,
    countStoreCalls: () => store.countRequests(),
    async close() {
      for (const timer of timers) clearTimeout(timer);
      await host.stop();
      await peers.close();
      await Promise.all(standIns.map((server) => server.close()));
      await store.close();
    },
  };
}
