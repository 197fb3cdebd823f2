import { createRandom, hostIdSchema, poolIdSchema } from '@endiveferry/base';
import { processSettingsSchema, readConfiguration } from '@endiveferry/settings';
import { Agent, request } from 'undici';

import { startDaemonWorker, type DaemonWorker } from '../startDaemonWorker.js';
import { startPlatformStandIn } from '../standins/startPlatformStandIn.js';
import { startStandIns, type StandIns } from '../standins/startStandIns.js';
import { computeQuantile } from '../summarize.js';

const CLOSED_LOOP_CALLERS = 32;
const CLOSED_LOOP_MS = 4_000;
const OPEN_LOOP_MS = 8_000;
const WARM_UP_MS = 2_000;
const STREAM_COUNT = 48;
const TOKENS_PER_STREAM = 200;
const WORKSPACE_TOKEN = 'demo-taller-salto';
const REQUEST_BODY = JSON.stringify({ lot: '4417' });

/** URL that load is sent to, with its request headers. */
interface Endpoint {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

interface LatencyQuantiles {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface EndpointFigures {
  readonly requestsPerSecond: number;
  readonly halfLoad: LatencyQuantiles;
}

/** Sends one request and returns its latency in milliseconds. */
async function sendRequest(endpoint: Endpoint, dispatcher: Agent): Promise<number> {
  const startedAt = performance.now();
  const { statusCode, body } = await request(endpoint.url, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...endpoint.headers },
    body: REQUEST_BODY,
    dispatcher,
  });
  await body.dump();
  if (statusCode !== 200) throw new Error(`${endpoint.url} responded with status ${statusCode}`);
  return performance.now() - startedAt;
}

/** Sends requests from a fixed number of callers and returns the requests per second. */
async function runClosedLoop(endpoint: Endpoint, durationMs: number): Promise<number> {
  const dispatcher = new Agent({ connections: CLOSED_LOOP_CALLERS });
  const endAt = performance.now() + durationMs;
  let count = 0;
  async function runCaller(): Promise<void> {
    while (performance.now() < endAt) {
      await sendRequest(endpoint, dispatcher);
      count += 1;
    }
  }
  await Promise.all(Array.from({ length: CLOSED_LOOP_CALLERS }, runCaller));
  await dispatcher.close();
  return (count * 1_000) / durationMs;
}

/**
 * Sends requests at a constant mean rate, whether or not earlier ones completed.
 *
 * @param endpoint - where to send them
 * @param rate - requests per second
 * @param durationMs - time to send requests for, in milliseconds
 * @returns the latency of each request, in milliseconds
 */
async function runOpenLoop(
  endpoint: Endpoint,
  rate: number,
  durationMs: number,
): Promise<number[]> {
  const dispatcher = new Agent({ connections: 256 });
  const random = createRandom(1);
  const calls: Promise<number>[] = [];
  const startedAt = performance.now();
  for (let at = 0; at < durationMs; at += (-Math.log(1 - random.nextFraction()) / rate) * 1_000) {
    const waitMs = startedAt + at - performance.now();
    if (waitMs > 1) await new Promise((resolve) => setTimeout(resolve, waitMs));
    calls.push(sendRequest(endpoint, dispatcher));
  }
  const latencies = await Promise.all(calls);
  await dispatcher.close();
  return latencies;
}

const computeLatencyQuantiles = (latencies: readonly number[]): LatencyQuantiles => ({
  p50Ms: computeQuantile(latencies, 0.5),
  p99Ms: computeQuantile(latencies, 0.99),
});

/** Streams responses and measures the time that the daemon is busy for each token. */
async function measureTokens(worker: DaemonWorker, address: string) {
  const before = await worker.measure();
  const streamOnce = async () => {
    const { body } = await request(`http://${address}/v1/pipelines/mill-question/requests`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        accept: 'text/event-stream',
        authorization: `Bearer ${WORKSPACE_TOKEN}`,
      },
      body: JSON.stringify({ question: 'How many ends?', texts: ['lot 7'] }),
    });
    const text = await body.text();
    return text.split('event: token').length - 1;
  };
  const startedAt = performance.now();
  const counts = await Promise.all(Array.from({ length: STREAM_COUNT }, streamOnce));
  const elapsedMs = performance.now() - startedAt;
  const after = await worker.measure();
  const tokens = counts.reduce((sum, count) => sum + count, 0);
  return {
    streams: STREAM_COUNT,
    tokens,
    tokensPerSecond: (tokens * 1_000) / elapsedMs,
    busyMicrosecondsPerToken: ((after.activeMs - before.activeMs) * 1_000) / tokens,
  };
}

/** Starts one daemon on its own thread, with stand-ins and long streams. */
async function startFixture() {
  const folder = new URL('../../../../../examples/urdimbre', import.meta.url).pathname;
  const result = await readConfiguration(folder);
  if (result.isErr()) throw new Error('the example configuration is invalid');
  const source = result.value;
  for (const pipeline of Object.values(source.pipelines)) {
    for (const stage of Object.values(pipeline.stages)) {
      if (stage.maxTokens !== undefined) stage.maxTokens = TOKENS_PER_STREAM;
    }
  }
  const standIns = await startStandIns(source, createRandom(1));
  const hostId = hostIdSchema.parse('host-1');
  const configuration = standIns.configuration;
  const host = configuration.hosts[hostId];
  if (host === undefined) throw new Error('the example configuration has no host-1');
  configuration.hosts = { [hostId]: { ...host, peerAddress: '127.0.0.1:9' } };
  const platform = await startPlatformStandIn();
  platform.publishConfiguration(configuration);
  platform.publishHosts({ hosts: { [hostId]: { state: 'live' } } });
  const worker = await startDaemonWorker([
    processSettingsSchema.parse({
      hostId,
      availabilityZone: host.availabilityZone,
      callers: { address: '127.0.0.1:0' },
      peers: { address: '127.0.0.1:0' },
      operators: { address: '127.0.0.1:0' },
      platform: { url: platform.url },
      logLevel: 'info',
    }),
  ]);
  return { standIns, platform, worker };
}

function buildDirectEndpoint(standIns: StandIns): Endpoint {
  const [stock] = standIns.listPool(poolIdSchema.parse('creel-stock'));
  if (stock === undefined) throw new Error('pool creel-stock has no backend servers');
  return { url: `http://${stock.address}/v1/lookup`, headers: {} };
}

/**
 * Measures the overhead of a daemon, compared with direct calls to the same stand-in.
 *
 * @returns the figures through the daemon and direct, and their differences and ratios
 * @public
 */
export async function runOverhead(): Promise<object> {
  const { standIns, platform, worker } = await startFixture();
  const address = worker.addresses[0]?.callers ?? '';
  const direct = buildDirectEndpoint(standIns);
  const viaDaemon: Endpoint = {
    url: `http://${address}/v1/pipelines/stock-lookup/requests`,
    headers: { authorization: `Bearer ${WORKSPACE_TOKEN}` },
  };
  await worker.collectGarbage();
  const idle = await worker.measure();
  // The stand-ins respond without service time, so that only the path to them is measured.
  for (const server of standIns.listPool(poolIdSchema.parse('creel-stock'))) {
    server.faults.slowdown = 0;
  }
  await runClosedLoop(viaDaemon, WARM_UP_MS);
  await runClosedLoop(direct, WARM_UP_MS);
  const daemonRate = await runClosedLoop(viaDaemon, CLOSED_LOOP_MS);
  const directRate = await runClosedLoop(direct, CLOSED_LOOP_MS);
  const rate = daemonRate / 2;
  const before = await worker.measure();
  const daemonLatencies = await runOpenLoop(viaDaemon, rate, OPEN_LOOP_MS);
  const after = await worker.measure();
  const directLatencies = await runOpenLoop(direct, rate, OPEN_LOOP_MS);
  const product: EndpointFigures = {
    requestsPerSecond: daemonRate,
    halfLoad: computeLatencyQuantiles(daemonLatencies),
  };
  const baseline: EndpointFigures = {
    requestsPerSecond: directRate,
    halfLoad: computeLatencyQuantiles(directLatencies),
  };
  const streaming = await measureTokens(worker, address);
  await worker.collectGarbage();
  const afterCollection = await worker.measure();
  await worker.close();
  await standIns.close();
  await platform.close();
  return {
    scenario: 'overhead',
    product: {
      ...product,
      busyMillisecondsPerRequest: (after.activeMs - before.activeMs) / daemonLatencies.length,
      collections: {
        totalMs: after.collections.totalMs - before.collections.totalMs,
        count: after.collections.count - before.collections.count,
        longestMs: after.collections.longestMs,
      },
      loopDelayP99Ms: after.loopDelayP99Ms,
      memoryBytesAtRest: idle.memoryBytes,
      memoryBytesUnderLoad: after.memoryBytes,
      memoryBytesAfterLoad: afterCollection.memoryBytes,
      streaming,
    },
    baseline,
    ratios: {
      addedP50Ms: product.halfLoad.p50Ms - baseline.halfLoad.p50Ms,
      addedP99Ms: product.halfLoad.p99Ms - baseline.halfLoad.p99Ms,
      requestsPerSecond: product.requestsPerSecond / baseline.requestsPerSecond,
    },
  };
}
