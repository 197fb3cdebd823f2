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

const FIRST_PEER_PORT = 30_100;
const SETTLE_MS = 4_000;
const MEASURE_MS = 6_000;

/** Size of the fleet in one measurement. */
interface FleetSize {
  readonly hosts: number;
  /** Number of model engines. */
  readonly replicas: number;
  readonly workspaces: number;
  /** Number of configuration changes during the measurement. */
  readonly changes: number;
}

/** Cost of the control plane for one host at a fleet size. */
interface ControlCost extends FleetSize {
  /** Time that the event loop is active, as a share of the measurement. */
  readonly cpuShare: number;
  /** Control traffic of the host in both directions. */
  readonly bytesPerSecond: number;
  /** Heap and external memory after a garbage collection. */
  readonly memoryBytes: number;
  /** Requests per second to the platform from all hosts. */
  readonly platformReadsPerSecond: number;
}

const baseSize: FleetSize = { hosts: 6, replicas: 8, workspaces: 5, changes: 0 };

/** Only one dimension differs from the base size in each measurement. */
const sizes: readonly FleetSize[] = [
  baseSize,
  { ...baseSize, hosts: 12 },
  { ...baseSize, hosts: 25 },
  { ...baseSize, hosts: 50 },
  { ...baseSize, replicas: 120 },
  { ...baseSize, replicas: 470 },
  { ...baseSize, replicas: 940 },
  { ...baseSize, workspaces: 110 },
  { ...baseSize, workspaces: 220 },
  { ...baseSize, changes: 6 },
];

async function readExampleConfiguration(): Promise<Configuration> {
  const folder = new URL('../../../../../examples/urdimbre', import.meta.url).pathname;
  const result = await readConfiguration(folder);
  if (result.isErr()) throw new Error('the example configuration is invalid');
  return result.value;
}

/**
 * Adds engines by configuring each stand-in engine under several ids. The control cost of an engine
 * to a host is only that of its entries, so engines can share a stand-in.
 */
function addReplicas(configuration: Configuration, count: number): void {
  const pool = Object.values(configuration.pools).find(({ kind }) => kind === 'model-engine');
  if (pool === undefined) throw new Error('the example configuration has no model engines');
  const existing = Object.values(pool.backendServers);
  for (let index = existing.length; index < count; index += 1) {
    const template = existing[index % existing.length];
    if (template === undefined) return;
    pool.backendServers[backendServerIdSchema.parse(`engine-${index + 1}`)] = template;
  }
}

function addWorkspaces(configuration: Configuration, count: number): void {
  const existing = Object.keys(configuration.workspaces).length;
  for (let index = existing; index < count; index += 1) {
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
      peerAddress: `127.0.0.1:${FIRST_PEER_PORT + index}`,
    };
  }
}

const wait = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

async function measureSize(size: FleetSize): Promise<ControlCost> {
  const standIns = await startStandIns(await readExampleConfiguration(), createRandom(1));
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
  await worker.collectGarbage();
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
  // Only the host that opened a connection counts its bytes, but they cost the hosts at both ends.
  const bytes = 2 * (sumBytes(after) - sumBytes(before));
  return {
    ...size,
    cpuShare: (after.activeMs - before.activeMs) / MEASURE_MS / size.hosts,
    bytesPerSecond: (bytes / MEASURE_MS / size.hosts) * 1_000,
    memoryBytes: before.memoryBytes / size.hosts,
    platformReadsPerSecond: (reads / MEASURE_MS) * 1_000,
  };
}

/** Fits a line by least squares; `fit` is the coefficient of determination (R squared). */
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

/** Dimension of the fleet size that varies between measurements. */
type Dimension = 'hosts' | 'replicas' | 'workspaces' | 'changes';

/** Fits the costs against one dimension, from the measurements in which only it varies. */
function fitDimension(costs: readonly ControlCost[], dimension: Dimension) {
  const selectedCosts = costs.filter((cost) =>
    (['hosts', 'replicas', 'workspaces', 'changes'] as const).every(
      (other) => other === dimension || cost[other] === baseSize[other],
    ),
  );
  const scale = dimension === 'hosts' ? Math.log2 : (value: number) => value;
  const fitCost = (getValue: (cost: ControlCost) => number) =>
    fitLine(selectedCosts.map((cost) => [scale(cost[dimension]), getValue(cost)]));
  return {
    against: dimension === 'hosts' ? 'log2(hosts)' : dimension,
    cpuShare: fitCost((cost) => cost.cpuShare),
    bytesPerSecond: fitCost((cost) => cost.bytesPerSecond),
    memoryBytes: fitCost((cost) => cost.memoryBytes),
  };
}

/**
 * Measures the cost of the control plane for a host without requests, at several fleet sizes.
 *
 * @returns the costs at each size, and lines fitted against each dimension
 * @public
 */
export async function runControlCost(): Promise<object> {
  const costs: ControlCost[] = [];
  for (const size of sizes) costs.push(await measureSize(size));
  return {
    scenario: 'control-cost',
    costs,
    slopes: (['hosts', 'replicas', 'workspaces', 'changes'] as const).map((dimension) =>
      fitDimension(costs, dimension),
    ),
  };
}
