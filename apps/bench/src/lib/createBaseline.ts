import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import {
  createSystemClock,
  listEntries,
  pipelineIdSchema,
  rankIdSchema,
  requestIdSchema,
  type Clock,
  type PoolId,
  type RequestId,
  type WorkspaceId,
} from '@endiveferry/base';
import {
  resolveInput,
  stageHandlers,
  type AttemptContext,
  type AttemptResult,
  type RequestContext,
} from '@endiveferry/pipeline';
import { createServerConnections, type ServerConnections } from '@endiveferry/routing';
import type { Configuration } from '@endiveferry/settings';

import { sendJson } from './standins/startStandInServer.js';

/** Tries of a stage, whatever failed. */
const FIXED_TRIES = 3;
const LOOPBACK = '127.0.0.1';

/**
 * A plain gateway to compare with: round robin, first come first served, fixed retries.
 *
 * @public
 */
export interface Baseline {
  readonly addresses: readonly string[];
  close(): Promise<void>;
}

interface BaselinePool {
  readonly connections: readonly ServerConnections[];
  next: number;
}

interface Host {
  readonly configuration: Configuration;
  readonly clock: Clock;
  readonly pools: ReadonlyMap<PoolId, BaselinePool>;
}

function createPools(configuration: Configuration): ReadonlyMap<PoolId, BaselinePool> {
  return new Map(
    listEntries(configuration.pools).map(([id, { backendServers }]) => [
      id,
      {
        connections: Object.values(backendServers).map(({ address }) =>
          createServerConnections(address),
        ),
        next: 0,
      },
    ]),
  );
}

function takeNext(pool: BaselinePool): ServerConnections | undefined {
  pool.next = (pool.next + 1) % pool.connections.length;
  return pool.connections[pool.next];
}

/** Tries the next server in turn, up to a fixed number of times. */
async function runStage(
  host: Host,
  pool: BaselinePool,
  context: AttemptContext,
): Promise<AttemptResult> {
  const { kind } = context.pool.settings();
  const runAttempt = stageHandlers[kind].createAttemptRunner(context);
  const tries = context.stage.isIdempotent ? FIXED_TRIES : 1;
  let result: AttemptResult | undefined;
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const connections = takeNext(pool);
    if (connections === undefined) break;
    const ignore = () => undefined;
    const lease = {
      serverId: '' as never,
      send: (call: Parameters<ServerConnections['send']>[0]) => connections.send(call),
      recordSuccess: ignore,
      recordFailure: ignore,
      recordOverload: ignore,
      end: ignore,
      checkLiveness: () => Promise.resolve(),
      recordFirstToken: ignore,
    };
    result = await runAttempt({
      lease,
      signal: context.request.signal,
      priority: 0,
      usesOwnConnection: false,
    });
    if (result.kind === 'done' || host.clock.now() > context.request.deadlineAt) return result;
  }
  if (result === undefined) throw new Error('the pool is empty');
  return result;
}

async function runPipeline(host: Host, request: RequestContext): Promise<AttemptResult> {
  const stages = listEntries(request.pipeline.stages).sort(([, a], [, b]) => a.order - b.order);
  const outputs: Record<string, unknown> = {};
  let last: AttemptResult | undefined;
  for (const [stageId, stage] of stages) {
    const pool = host.pools.get(stage.pool);
    const settings = host.configuration.pools[stage.pool];
    if (pool === undefined || settings === undefined) throw new Error(`no pool ${stage.pool}`);
    const input = resolveInput(stage, { request: request.body, stages: outputs });
    const context = {
      request,
      stageId,
      stage,
      input,
      pool: { clock: host.clock, settings: () => settings },
    };
    last = await runStage(host, pool, context);
    if (last.kind === 'failed') return last;
    outputs[stageId] = last.output;
  }
  if (last === undefined) throw new Error('the pipeline is empty');
  return last;
}

function findWorkspace(configuration: Configuration, authorization: string): WorkspaceId {
  const digest = createHash('sha256').update(authorization.slice('Bearer '.length)).digest('hex');
  const found = listEntries(configuration.workspaces).find(([, workspace]) =>
    workspace.keyHashes.includes(`sha256:${digest}`),
  );
  if (found === undefined) throw new Error('unknown token');
  return found[0];
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function buildContext(
  host: Host,
  request: IncomingMessage,
  requestId: RequestId,
  body: unknown,
): RequestContext {
  const { configuration, clock } = host;
  const pipelineId = pipelineIdSchema.parse((request.url ?? '').split('/')[3]);
  const pipeline = configuration.pipelines[pipelineId];
  if (pipeline === undefined) throw new Error(`no pipeline ${pipelineId}`);
  const named = request.headers['endiveferry-rank'];
  const rankId = named === undefined ? pipeline.rank : rankIdSchema.parse(named);
  const rank = configuration.ranks[rankId];
  if (rank === undefined) throw new Error(`no rank ${rankId}`);
  const arrivedAt = clock.now();
  return {
    requestId,
    pipelineId,
    pipeline,
    rankId,
    rank,
    workspaceId: findWorkspace(configuration, request.headers.authorization ?? ''),
    arrivedAt,
    deadlineAt: arrivedAt + rank.deadlineMs,
    body,
    signal: AbortSignal.timeout(rank.deadlineMs),
    recordEvent: () => undefined,
  };
}

async function serve(
  host: Host,
  requestId: RequestId,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readJson(request);
  const result = await runPipeline(host, buildContext(host, request, requestId, body));
  if (result.kind === 'done') {
    sendJson(response, 200, { requestId, output: result.output, tokens: result.tokens });
  } else {
    // A plain gateway knows no verdict; it can only report that the request failed.
    sendJson(response, 502, { requestId, title: result.failure.reason });
  }
}

/**
 * Starts one plain gateway for each host.
 *
 * @param configuration - with the stand-ins' addresses
 * @param hostCount - how many gateways
 * @returns the gateways
 * @public
 */
export async function startBaseline(
  configuration: Configuration,
  hostCount: number,
): Promise<Baseline> {
  const clock = createSystemClock();
  const hosts = Array.from({ length: hostCount }, (_value, index) => {
    const host: Host = { configuration, clock, pools: createPools(configuration) };
    let nextNumber = 0;
    const server = createServer((request, response) => {
      nextNumber += 1;
      const requestId = requestIdSchema.parse(`baseline-${index}.${nextNumber}`);
      serve(host, requestId, request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    return { host, server };
  });
  const addresses = await Promise.all(
    hosts.map(
      ({ server }) =>
        new Promise<string>((resolve) =>
          server.listen(0, LOOPBACK, () =>
            resolve(`${LOOPBACK}:${(server.address() as AddressInfo).port}`),
          ),
        ),
    ),
  );
  return {
    addresses,
    async close() {
      const closing = hosts.map(async ({ host, server }) => {
        server.closeAllConnections();
        server.close();
        const connections = [...host.pools.values()].flatMap((pool) => pool.connections);
        await Promise.all(connections.map((connection) => connection.close()));
      });
      await Promise.all(closing);
    },
  };
}
