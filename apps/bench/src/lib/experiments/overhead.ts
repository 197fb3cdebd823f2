import { createRandom, hostIdSchema, poolIdSchema } from '@endiveferry/base';
import { processSettingsSchema, readConfiguration } from '@endiveferry/settings';
import { Agent, request } from 'undici';

import { startDaemonWorker, type DaemonWorker } from '../startDaemonWorker.js';
import { startPlatformStandIn } from '../standins/startPlatformStandIn.js';
import { startStandIns, type StandIns } from '../standins/startStandIns.js';
import { findQuantile } from '../summarize.js';

const CLOSED_LOOP_CALLERS = 32;
const CLOSED_LOOP_MS = 4_000;
const OPEN_LOOP_MS = 8_000;
const WARM_UP_MS = 2_000;
const STREAMS = 48;
const STREAM_TOKENS = 200;
const TOKEN = 'demo-taller-salto';
const BODY = JSON.stringify({ lot: '4417' });

interface Target {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

interface LatencyFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface OverheadSide {
  readonly requestsPerSecond: number;
  readonly halfLoad: LatencyFigures;
}

async function callOnce(target: Target, dispatcher: Agent): Promise<number> {
  const startedAt = performance.now();
  const { statusCode, body } = await request(target.url, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...target.headers },
    body: BODY,
    dispatcher,
  });
  await body.dump();
  if (statusCode !== 200) throw new Error(`${target.url} answered ${statusCode}`);
  return performance.now() - startedAt;
}

/** As many requests as a fixed number of callers get done. */
async function runClosedLoop(target: Target, durationMs: number): Promise<number> {
  const dispatcher = new Agent({ connections: CLOSED_LOOP_CALLERS });
  const endAt = performance.now() + durationMs;
  let count = 0;
  async function runCaller(): Promise<void> {
    while (performance.now() < endAt) {
      await callOnce(target, dispatcher);
      count += 1;
    }
  }
  await Promise.all(Array.from({ length: CLOSED_LOOP_CALLERS }, runCaller));
  await dispatcher.close();
  return (count * 1_000) / durationMs;
}

/** Requests at a steady rate, whether or not earlier ones were answered. */
async function runOpenLoop(target: Target, rate: number, durationMs: number): Promise<number[]> {
  const dispatcher = new Agent({ connections: 256 });
  const random = createRandom(1);
  const calls: Promise<number>[] = [];
  const startedAt = performance.now();
  for (let at = 0; at < durationMs; at += (-Math.log(1 - random.nextFraction()) / rate) * 1_000) {
    const waitMs = startedAt + at - performance.now();
    if (waitMs > 1) await new Promise((resolve) => setTimeout(resolve, waitMs));
    calls.push(callOnce(target, dispatcher));
  }
  const latencies = await Promise.all(calls);
  await dispatcher.close();
  return latencies;
}

const toFigures = (latencies: readonly number[]): LatencyFigures => ({
  p50Ms: findQuantile(latencies, 0.5),
  p99Ms: findQuantile(latencies, 0.99),
});

/** Streams answers and measures what one token costs the daemon. */
async function measureTokens(worker: DaemonWorker, address: string) {
  const before = await worker.measure();
  const streamOnce = async () => {
    const { body } = await request(`http://${address}/v1/pipelines/mill-question/requests`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        accept: 'text/event-stream',
        authorization: `Bearer ${TOKEN}`,
      },
      body: JSON.stringify({ question: 'How many ends?', texts: ['lot 7'] }),
    });
    const text = await body.text();
    return text.split('event: token').length - 1;
  };
  const startedAt = performance.now();
  const counts = await Promise.all(Array.from({ length: STREAMS }, streamOnce));
  const elapsedMs = performance.now() - startedAt;
  const after = await worker.measure();
  const tokens = counts.reduce((sum, count) => sum + count, 0);
  return {
    streams: STREAMS,
    tokens,
    tokensPerSecond: (tokens * 1_000) / elapsedMs,
    busyMicrosecondsPerToken: ((after.activeMs - before.activeMs) * 1_000) / tokens,
  };
}

async function startWorld() {
  const folder = new URL('../../../../../examples/urdimbre', import.meta.url).pathname;
  const read = await readConfiguration(folder);
  if (read.isErr()) throw new Error('the example has faults');
  const source = read.value;
  for (const pipeline of Object.values(source.pipelines)) {
    for (const stage of Object.values(pipeline.stages)) {
      if (stage.maxTokens !== undefined) stage.maxTokens = STREAM_TOKENS;
    }
  }
  const standIns = await startStandIns(source, createRandom(1));
  const hostId = hostIdSchema.parse('host-1');
  const configuration = standIns.configuration;
  const host = configuration.hosts[hostId];
  if (host === undefined) throw new Error('the example has no host-1');
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

function findLookup(standIns: StandIns): Target {
  const [stock] = standIns.listPool(poolIdSchema.parse('creel-stock'));
  if (stock === undefined) throw new Error('the example has no creel-stock');
  return { url: `http://${stock.address}/v1/lookup`, headers: {} };
}

/**
 * Measures what a daemon adds to a call, against calling the same stand-in directly.
 *
 * @returns the figures of both, and their ratios
 * @public
 */
export async function runOverhead(): Promise<object> {
  const { standIns, platform, worker } = await startWorld();
  const address = worker.addresses[0]?.callers ?? '';
  const direct = findLookup(standIns);
  const through: Target = {
    url: `http://${address}/v1/pipelines/stock-lookup/requests`,
    headers: { authorization: `Bearer ${TOKEN}` },
  };
  await worker.collect();
  const atRest = await worker.measure();
  // The stand-in answers at once, so that only the way to it is measured.
  for (const server of standIns.listPool(poolIdSchema.parse('creel-stock'))) {
    server.faults.slowdown = 0;
  }
  await runClosedLoop(through, WARM_UP_MS);
  await runClosedLoop(direct, WARM_UP_MS);
  const throughRate = await runClosedLoop(through, CLOSED_LOOP_MS);
  const directRate = await runClosedLoop(direct, CLOSED_LOOP_MS);
  const rate = throughRate / 2;
  const before = await worker.measure();
  const throughLatencies = await runOpenLoop(through, rate, OPEN_LOOP_MS);
  const after = await worker.measure();
  const directLatencies = await runOpenLoop(direct, rate, OPEN_LOOP_MS);
  const product: OverheadSide = {
    requestsPerSecond: throughRate,
    halfLoad: toFigures(throughLatencies),
  };
  const baseline: OverheadSide = {
    requestsPerSecond: directRate,
    halfLoad: toFigures(directLatencies),
  };
  const streaming = await measureTokens(worker, address);
  await worker.collect();
  const underLoad = await worker.measure();
  await worker.close();
  await standIns.close();
  await platform.close();
  return {
    scenario: 'overhead',
    product: {
      ...product,
      busyMillisecondsPerRequest: (after.activeMs - before.activeMs) / throughLatencies.length,
      collections: {
        totalMs: after.collections.totalMs - before.collections.totalMs,
        count: after.collections.count - before.collections.count,
        longestMs: after.collections.longestMs,
      },
      loopDelayP99Ms: after.loopDelayP99Ms,
      memoryBytesAtRest: atRest.memoryBytes,
      memoryBytesUnderLoad: after.memoryBytes,
      memoryBytesAfterLoad: underLoad.memoryBytes,
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
