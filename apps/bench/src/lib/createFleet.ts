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
/** First three octets of published peer addresses; relays listen on them where there are any. */
const RELAY_NETWORK_PREFIX = '127.0.2';
/** First three octets of the addresses on which hosts behind relays listen. */
const HOST_NETWORK_PREFIX = '127.0.1';
/** Exclusive upper bound of random seeds for port selection. */
const MAX_SEED = 2 ** 31;

/**
 * Daemons with stand-ins for backend servers and the platform, all in this process on loopback.
 *
 * @public
 */
export interface Fleet {
  readonly platform: PlatformStandIn;
  readonly standIns: StandIns;
  readonly daemons: ReadonlyMap<HostId, Daemon>;
  /** Returns the configuration that was published last. */
  readonly configuration: () => Configuration;
  /** Applies a change to a copy of the configuration, publishes it and returns its revision. */
  publish(change: (configuration: Configuration) => void): number;
  /** Publishes a list of hosts and backend servers and returns its revision. */
  publishHosts(states: HostStates): number;
  /** Builds the settings of a host, for example to start it in a worker thread. */
  buildSettings(hostId: HostId): ProcessSettings;
  /**
   * Sets which paths between hosts drop all traffic without closing connections. It requires a
   * fleet with relays.
   */
  setPartition(isPartitioned: (from: HostId, to: HostId) => boolean): void;
  /** Starts a host that is not running, without waiting until it is ready. */
  startHost(hostId: HostId): Promise<Daemon>;
  close(): Promise<void>;
}

/**
 * Options of {@link createFleet}.
 *
 * @public
 */
export interface FleetOptions {
  /** Path of a configuration folder, or a configuration. */
  readonly source: string | Configuration;
  readonly seed: number;
  /** Number of configured hosts to include; all by default. */
  readonly hostCount?: number;
  /** Address on which the first host listens for callers; any free port by default. */
  readonly callersAddress?: string;
  /** Address on which the first host listens for operators; any free port by default. */
  readonly operatorsAddress?: string;
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /** Time that a draining host still accepts requests for, in milliseconds. */
  readonly readinessGraceMs?: number;
  /** Ids of configured hosts that are not started with the fleet. */
  readonly absentHosts?: readonly string[];
  /** Whether connections between hosts pass through relays that can drop their traffic. */
  readonly hasRelays?: boolean;
  /** Interval between two tokens of a stand-in engine, in milliseconds. */
  readonly tokenIntervalMs?: number;
}

async function loadConfiguration(source: string | Configuration): Promise<Configuration> {
  if (typeof source !== 'string') return structuredClone(source);
  const configuration = await readConfiguration(source);
  if (configuration.isOk()) return configuration.value;
  throw new Error(configuration.error.map(formatConfigurationIssue).join('\n'));
}

/** Limits the configuration to its first hosts and assigns each a loopback peer address. */
async function assignPeerAddresses(
  configuration: Configuration,
  count: number,
  random: Random,
): Promise<void> {
  const hosts = listEntries(configuration.hosts).slice(0, count);
  configuration.hosts = {};
  for (const [index, [id, host]] of hosts.entries()) {
    const port = await findFreePort(random);
    configuration.hosts[id] = {
      ...host,
      peerAddress: `${RELAY_NETWORK_PREFIX}.${index + 1}:${port}`,
    };
  }
}

/** Returns the address a host listens on when a relay listens on its published address. */
const getListenAddress = (published: string) =>
  published.replace(RELAY_NETWORK_PREFIX, HOST_NETWORK_PREFIX);

const buildLiveHostStates = (configuration: Configuration): HostStates => ({
  hosts: Object.fromEntries(
    Object.keys(configuration.hosts).map((id) => [id, { state: 'live' as const }]),
  ),
});

/**
 * Starts a fleet and waits until every host is ready.
 *
 * @param options - see {@link FleetOptions}
 * @returns the fleet
 * @throws Error when the configuration is invalid or a host does not start
 * @public
 */
export async function createFleet(options: FleetOptions): Promise<Fleet> {
  const random = createRandom(options.seed);
  const source = await loadConfiguration(options.source);
  const standIns = await startStandIns(source, random, options.tokenIntervalMs);
  const platform = await startPlatformStandIn();
  let configuration = standIns.configuration;
  // The port seed is not derived from the run's seed, so that concurrent runs use different ports.
  await assignPeerAddresses(
    configuration,
    options.hostCount ?? Infinity,
    createRandom(randomInt(MAX_SEED)),
  );
  platform.publishConfiguration(configuration);
  platform.publishHosts(buildLiveHostStates(configuration));
  const daemons = new Map<HostId, Daemon>();
  const relays: PeerRelay[] = [];
  let isPartitioned: (from: HostId, to: HostId) => boolean = () => false;

  function getHostConfiguration(hostId: HostId) {
    const host = configuration.hosts[hostId];
    if (host === undefined) throw new Error(`${hostId} is not in the fleet's configuration`);
    return host;
  }

  function buildSettings(hostId: HostId): ProcessSettings {
    const { availabilityZone, peerAddress } = getHostConfiguration(hostId);
    const isFirst = Object.keys(configuration.hosts)[0] === hostId;
    const address = options.hasRelays === true ? getListenAddress(peerAddress) : peerAddress;
    return processSettingsSchema.parse({
      hostId,
      availabilityZone,
      callers: { address: (isFirst ? options.callersAddress : undefined) ?? ANY_PORT },
      peers: { address, seeds: chooseSeeds(hostId) },
      operators: { address: (isFirst ? options.operatorsAddress : undefined) ?? ANY_PORT },
      platform: { url: platform.url },
      logLevel: options.logLevel ?? 'error',
    });
  }

  /** Chooses two other hosts as seed peers, as an operator would configure them. */
  function chooseSeeds(hostId: HostId): Record<string, string> {
    const others = listEntries(configuration.hosts).filter(([id]) => id !== hostId);
    return Object.fromEntries(others.slice(0, 2).map(([id, host]) => [id, host.peerAddress]));
  }

  async function startRelays(): Promise<void> {
    for (const [hostId, { peerAddress }] of listEntries(configuration.hosts)) {
      const relay = await startPeerRelay(peerAddress, getListenAddress(peerAddress), (fromIp) => {
        const from = listEntries(configuration.hosts).find(
          ([, other]) => getListenAddress(other.peerAddress).split(':')[0] === fromIp,
        );
        return from !== undefined && isPartitioned(from[0], hostId);
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
    setPartition(next) {
      isPartitioned = next;
      for (const relay of relays) relay.applyPartition();
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
