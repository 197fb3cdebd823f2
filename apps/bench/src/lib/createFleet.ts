import { randomInt } from 'node:crypto';

import {
  createRandom,
  findFreePort,
  hostIdSchema,
  listEntries,
  type HostId,
  type Random,
} from '@endiveferry/base';
import { createDaemon, type Daemon } from '@endiveferry/daemon';
import {
  processSettingsSchema,
  readConfiguration,
  formatConfigurationIssue,
  type Configuration,
  type ProcessSettings,
} from '@endiveferry/settings';

import {
  startPlatformStandIn,
  type HostStates,
  type PlatformStandIn,
} from './standins/startPlatformStandIn.js';
import { startPeerRelay, type PeerRelay } from './standins/startPeerRelay.js';
import { startStandIns, type StandIns } from './standins/startStandIns.js';

const LOOPBACK = '127.0.0.1';
const ANY_PORT = `${LOOPBACK}:0`;
/** Loopback addresses of the relays before hosts, and of hosts behind relays. */
const RELAY_NETWORK = '127.0.2';
const HOST_NETWORK = '127.0.1';
const MAX_SEED = 2 ** 31;

/**
 * Real daemons before stand-ins, all in this process and on loopback.
 *
 * @public
 */
export interface Fleet {
  readonly platform: PlatformStandIn;
  readonly standIns: StandIns;
  readonly daemons: ReadonlyMap<HostId, Daemon>;
  /** The configuration as it was published last. */
  readonly configuration: () => Configuration;
  /** Publishes a changed configuration. */
  publish(change: (configuration: Configuration) => void): number;
  publishHosts(states: HostStates): number;
  /** The settings of a host, to start it elsewhere. */
  buildSettings(hostId: HostId): ProcessSettings;
  /** Cuts paths between hosts, silently; only in a fleet with relays. */
  cutPeers(isCut: (from: HostId, to: HostId) => boolean): void;
  /** Starts a host that is not running. */
  startHost(hostId: HostId): Promise<Daemon>;
  close(): Promise<void>;
}

/**
 * Options of a fleet.
 *
 * @public
 */
export interface FleetOptions {
  /** A configuration folder, or a configuration. */
  readonly source: string | Configuration;
  readonly seed: number;
  /** How many of the hosts to run; all when left out. */
  readonly hostCount?: number;
  /** Where the first host listens for callers; any free port when left out. */
  readonly callersAddress?: string;
  readonly operatorsAddress?: string;
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  readonly readinessGraceMs?: number;
  /** Hosts that are not started with the rest. */
  readonly absentHosts?: readonly string[];
  /** Whether connections between hosts pass relays that can cut them. */
  readonly hasRelays?: boolean;
  /** Time between two tokens of a stand-in engine, in milliseconds. */
  readonly tokenIntervalMs?: number;
}

async function loadSource(source: string | Configuration): Promise<Configuration> {
  if (typeof source !== 'string') return structuredClone(source);
  const configuration = await readConfiguration(source);
  if (configuration.isOk()) return configuration.value;
  throw new Error(configuration.error.map(formatConfigurationIssue).join('\n'));
}

/** Keeps the first hosts, and gives each an address on loopback. */
async function placeHosts(
  configuration: Configuration,
  count: number,
  random: Random,
): Promise<void> {
  const hosts = listEntries(configuration.hosts).slice(0, count);
  configuration.hosts = {};
  for (const [index, [id, host]] of hosts.entries()) {
    const port = await findFreePort(random);
    configuration.hosts[id] = { ...host, peerAddress: `${RELAY_NETWORK}.${index + 1}:${port}` };
  }
}

/** Where a host itself listens, when a relay takes its published address. */
const findOwnAddress = (published: string) => published.replace(RELAY_NETWORK, HOST_NETWORK);

const listLive = (configuration: Configuration): HostStates => ({
  hosts: Object.fromEntries(
    Object.keys(configuration.hosts).map((id) => [id, { state: 'live' as const }]),
  ),
});

/**
 * Starts a fleet and waits until every host is ready.
 *
 * @param options - see {@link FleetOptions}
 * @returns the fleet
 * @public
 */
export async function createFleet(options: FleetOptions): Promise<Fleet> {
  const random = createRandom(options.seed);
  const source = await loadSource(options.source);
  const standIns = await startStandIns(source, random, options.tokenIntervalMs);
  const platform = await startPlatformStandIn();
  let configuration = standIns.configuration;
  // Ports differ from run to run, so that two runs at once do not meet.
  await placeHosts(configuration, options.hostCount ?? Infinity, createRandom(randomInt(MAX_SEED)));
  platform.publishConfiguration(configuration);
  platform.publishHosts(listLive(configuration));
  const daemons = new Map<HostId, Daemon>();
  const relays: PeerRelay[] = [];
  let isCut: (from: HostId, to: HostId) => boolean = () => false;

  function findHost(hostId: HostId) {
    const host = configuration.hosts[hostId];
    if (host === undefined) throw new Error(`${hostId} is not configured`);
    return host;
  }

  function buildSettings(hostId: HostId): ProcessSettings {
    const { availabilityZone, peerAddress } = findHost(hostId);
    const isFirst = Object.keys(configuration.hosts)[0] === hostId;
    const address = options.hasRelays === true ? findOwnAddress(peerAddress) : peerAddress;
    return processSettingsSchema.parse({
      hostId,
      availabilityZone,
      callers: { address: (isFirst ? options.callersAddress : undefined) ?? ANY_PORT },
      peers: { address, seeds: findSeeds(hostId) },
      operators: { address: (isFirst ? options.operatorsAddress : undefined) ?? ANY_PORT },
      platform: { url: platform.url },
      logLevel: options.logLevel ?? 'error',
    });
  }

  /** Two other hosts, as an operator would name them. */
  function findSeeds(hostId: HostId): Record<string, string> {
    const others = listEntries(configuration.hosts).filter(([id]) => id !== hostId);
    return Object.fromEntries(others.slice(0, 2).map(([id, host]) => [id, host.peerAddress]));
  }

  async function startRelays(): Promise<void> {
    for (const [hostId, { peerAddress }] of listEntries(configuration.hosts)) {
      const relay = await startPeerRelay(peerAddress, findOwnAddress(peerAddress), (fromIp) => {
        const from = listEntries(configuration.hosts).find(
          ([, other]) => findOwnAddress(other.peerAddress).split(':')[0] === fromIp,
        );
        return from !== undefined && isCut(from[0], hostId);
      });
      relays.push(relay);
    }
  }

  async function startHost(hostId: HostId): Promise<Daemon> {
    const daemon = await createDaemon({
      settings: buildSettings(hostId),
      seed: options.seed + daemons.size,
      readinessGraceMs: options.readinessGraceMs ?? 200,
    });
    daemons.set(hostId, daemon);
    return daemon;
  }

  if (options.hasRelays === true) await startRelays();
  for (const hostId of Object.keys(configuration.hosts)) {
    if (options.absentHosts?.includes(hostId) === true) continue;
    await startHost(hostIdSchema.parse(hostId));
  }
  await Promise.all([...daemons.values()].map((daemon) => daemon.waitUntilReady()));

  return {
    platform,
    standIns,
    daemons,
    configuration: () => configuration,
    publish(change) {
      configuration = structuredClone(configuration);
      change(configuration);
      return platform.publishConfiguration(configuration);
    },
    publishHosts: (states) => platform.publishHosts(states),
    buildSettings,
    cutPeers(next) {
      isCut = next;
      for (const relay of relays) relay.applyCuts();
    },
    startHost,
    async close() {
      await Promise.all([...daemons.values()].map((daemon) => daemon.kill()));
      await Promise.all(relays.map((relay) => relay.close()));
      await standIns.close();
      await platform.close();
    },
  };
}
