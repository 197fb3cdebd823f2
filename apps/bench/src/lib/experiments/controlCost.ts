import {
  backendServerIdSchema,
  createRandom,
  hostIdSchema,
  listEntries,
  workspaceIdSchema,
} from '@endiveferry/base';
import {
  processSettingsSchema,
  readConfiguration,
  type Configuration,
} from '@endiveferry/settings';

import { startPlatformStandIn } from '../standins/startPlatformStandIn.js';
import { startStandIns } from '../standins/startStandIns.js';
import { startDaemonWorker } from '../startDaemonWorker.js';

const FIRST_PORT = 30_100;
const SETTLE_MS = 4_000;
const MEASURE_MS = 6_000;

/** The size of one measurement. */
interface Size {
  readonly hosts: number;
  readonly replicas: number;
  readonly workspaces: number;
  /** Configuration changes while it is measured. */
  readonly changes: number;
}

/** What control cost one host at a size. */
interface Cost extends Size {
  readonly cpuShare: number;
  readonly bytesPerSecond: number;
  readonly memoryBytes: number;
  /** Reads of the platform a second, over all hosts. */
  readonly platformReadsPerSecond: number;
}

const base: Size = { hosts: 6, replicas: 8, workspaces: 5, changes: 0 };

/** One thing varies at a time. */
const sizes: readonly Size[] = [
  base,
  { ...base, hosts: 12 },
  { ...base, hosts: 25 },
  { ...base, hosts: 50 },
  { ...base, replicas: 120 },
  { ...base, replicas: 470 },
  { ...base, replicas: 940 },
  { ...base, workspaces: 110 },
  { ...base, workspaces: 220 },
  { ...base, changes: 6 },
];

async function readSource(): Promise<Configuration> {
  const folder = new URL('../../../../../examples/urdimbre', import.meta.url).pathname;
  const read = await readConfiguration(folder);
  if (read.isErr()) throw new Error('the example has faults');
  return read.value;
}

/** Lists each stand-in engine under many ids, since replicas cost a host nothing but entries. */
function addReplicas(configuration: Configuration, count: number): void {
  const pool = Object.values(configuration.pools).find(({ kind }) => kind === 'model-engine');
  if (pool === undefined) throw new Error('the example has no engines');
  const known = Object.values(pool.backendServers);
  for (let index = known.length; index < count; index += 1) {
    const like = known[index % known.length];
    if (like === undefined) return;
    pool.backendServers[backendServerIdSchema.parse(`engine-${index + 1}`)] = like;
  }
}

function addWorkspaces(configuration: Configuration, count: number): void {
  const known = Object.keys(configuration.workspaces).length;
  for (let index = known; index < count; index += 1) {
    const hash = index.toString(16).padStart(64, '0');
    configuration.workspaces[workspaceIdSchema.parse(`workspace-${index}`)] = {
      weight: 1,
      keyHashes: [`sha256:${hash}`],
      limits: {},
    };
  }
}

function addHosts(configuration: Configuration, count: number): void {
  const zones = listEntries(configuration.availabilityZones).map(([id]) => id);
  configuration.hosts = {};
  for (let index = 0; index < count; index += 1) {
    const availabilityZone = zones[index % zones.length];
    if (availabilityZone === undefined) return;
    configuration.hosts[hostIdSchema.parse(`host-${index + 1}`)] = {
      availabilityZone,
      peerAddress: `127.0.0.1:${FIRST_PORT + index}`,
    };
  }
}

const wait = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

async function measureSize(size: Size): Promise<Cost> {
  const standIns = await startStandIns(await readSource(), createRandom(1));
  const { configuration } = standIns;
  addReplicas(configuration, size.replicas);
  addWorkspaces(configuration, size.workspaces);
  addHosts(configuration, size.hosts);
  const platform = await startPlatformStandIn();
  platform.publishConfiguration(configuration);
  const hosts = Object.keys(configuration.hosts).map((id) => [id, { state: 'live' as const }]);
  platform.publishHosts({ hosts: Object.fromEntries(hosts) as Record<string, { state: 'live' }> });
  const settings = listEntries(configuration.hosts).map(([hostId, host]) =>
    processSettingsSchema.parse({
      hostId,
      availabilityZone: host.availabilityZone,
      callers: { address: '127.0.0.1:0' },
      peers: { address: host.peerAddress },
      operators: { address: '127.0.0.1:0' },
      platform: { url: platform.url },
      logLevel: 'warn',
    }),
  );
  const worker = await startDaemonWorker(settings);
  await wait(SETTLE_MS);
  await worker.collect();
  const before = await worker.measure();
  const readsBefore = platform.countReads();
  for (let step = 0; step < Math.max(1, size.changes); step += 1) {
    if (size.changes > 0) {
      configuration.limits.maxQueuedPerPool += 1;
      platform.publishConfiguration(configuration);
    }
    await wait(MEASURE_MS / Math.max(1, size.changes));
  }
  const after = await worker.measure();
  const reads = platform.countReads() - readsBefore;
  await worker.close();
  await standIns.close();
  await platform.close();
  const sumBytes = ({ statuses }: typeof after) =>
    statuses.reduce((sum, { controlBytes }) => sum + controlBytes, 0);
  // Each connection is counted at the host that opened it, and its bytes pass two hosts.
  const bytes = 2 * (sumBytes(after) - sumBytes(before));
  return {
    ...size,
    cpuShare: (after.activeMs - before.activeMs) / MEASURE_MS / size.hosts,
    bytesPerSecond: (bytes / MEASURE_MS / size.hosts) * 1_000,
    memoryBytes: before.memoryBytes / size.hosts,
    platformReadsPerSecond: (reads / MEASURE_MS) * 1_000,
  };
}

/** Least squares through points; the fit is the share of the variance that the line explains. */
function fitLine(points: readonly (readonly [number, number])[]) {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const sxy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const sxx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const syy = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const fit = sxx === 0 || syy === 0 ? 1 : sxy ** 2 / (sxx * syy);
  return { slope, intercept: meanY - slope * meanX, fit };
}

type Dimension = 'hosts' | 'replicas' | 'workspaces' | 'changes';

function fitDimension(costs: readonly Cost[], dimension: Dimension) {
  const chosen = costs.filter((cost) =>
    (['hosts', 'replicas', 'workspaces', 'changes'] as const).every(
      (other) => other === dimension || cost[other] === base[other],
    ),
  );
  const scale = dimension === 'hosts' ? Math.log2 : (value: number) => value;
  const fit = (read: (cost: Cost) => number) =>
    fitLine(chosen.map((cost) => [scale(cost[dimension]), read(cost)]));
  return {
    against: dimension === 'hosts' ? 'log2(hosts)' : dimension,
    cpuShare: fit((cost) => cost.cpuShare),
    bytesPerSecond: fit((cost) => cost.bytesPerSecond),
    memoryBytes: fit((cost) => cost.memoryBytes),
  };
}

/**
 * Measures what control costs a host that serves nobody, at growing sizes.
 *
 * @returns the figures, and their slopes with the fit
 * @public
 */
export async function runControlCost(): Promise<object> {
  const costs: Cost[] = [];
  for (const size of sizes) costs.push(await measureSize(size));
  return {
    scenario: 'control-cost',
    costs,
    slopes: (['hosts', 'replicas', 'workspaces', 'changes'] as const).map((dimension) =>
      fitDimension(costs, dimension),
    ),
  };
}
