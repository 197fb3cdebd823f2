import { workspaceIdSchema, type WorkspaceId } from '@endiveferry/base';
import {
  formatConfigurationIssue,
  readConfiguration,
  type Configuration,
} from '@endiveferry/settings';

import type { Flow } from './runLoad.js';

/**
 * Interval between two tokens in experiments, in milliseconds. It is long, so that a response of
 * few tokens still occupies an engine for a realistic time.
 */
export const BENCH_TOKEN_INTERVAL_MS = 40;
/** Tokens in one response in experiments. */
const BENCH_MAX_TOKENS = 8;
/** Maximum number of concurrent calls of an engine in experiments. */
const BENCH_ENGINE_CONCURRENCY = 4;
/** Service time of one response to a cached prompt, in milliseconds: 10 of prefill, then tokens. */
const BENCH_SERVICE_MS = 10 + BENCH_MAX_TOKENS * BENCH_TOKEN_INTERVAL_MS;

/**
 * Reads the Urdimbre example configuration, lowers the speed and concurrency of its engines and
 * removes workspace limits, so that one machine can generate several times their capacity as load.
 *
 * @returns the configuration
 * @throws Error when the example configuration is invalid
 * @public
 */
export async function readBenchConfiguration(): Promise<Configuration> {
  const folder = new URL('../../../../examples/urdimbre', import.meta.url).pathname;
  const result = await readConfiguration(folder);
  if (result.isErr()) throw new Error(result.error.map(formatConfigurationIssue).join('\n'));
  const configuration = result.value;
  for (const pool of Object.values(configuration.pools)) {
    if (pool.kind === 'model-engine') pool.serverConcurrency = BENCH_ENGINE_CONCURRENCY;
  }
  for (const pipeline of Object.values(configuration.pipelines)) {
    for (const stage of Object.values(pipeline.stages)) {
      if (stage.maxTokens === undefined) continue;
      stage.maxTokens = BENCH_MAX_TOKENS;
      stage.expectedServiceMs = BENCH_SERVICE_MS;
    }
  }
  for (const workspace of Object.values(configuration.workspaces)) workspace.limits = {};
  return configuration;
}

/**
 * Computes the nominal capacity of the engines.
 *
 * @param configuration - the configuration of the experiment
 * @returns responses per second when every slot is always busy
 * @public
 */
export function computeCapacity(configuration: Configuration): number {
  const slots = Object.values(configuration.pools)
    .filter(({ kind }) => kind === 'model-engine')
    .reduce(
      (sum, pool) => sum + Object.keys(pool.backendServers).length * pool.serverConcurrency,
      0,
    );
  return (slots / BENCH_SERVICE_MS) * 1_000;
}

/** Workspaces that send load in experiments. */
export const benchWorkspaces: readonly WorkspaceId[] = [
  'taller-paysandu',
  'taller-salto',
  'taller-fray-bentos',
  'hilanderia-del-litoral',
  'cooperativa-uruguay',
].map((id) => workspaceIdSchema.parse(id));

/**
 * Creates a flow of beam plan requests.
 *
 * @param workspace - the workspace that sends the requests
 * @param rank - the rank of the requests
 * @param computeRate - returns the requests per second at a time in milliseconds from the start
 * @returns the flow
 * @public
 */
export function createPlanFlow(
  workspace: string,
  rank: 'urgent' | 'standard' | 'batch',
  computeRate: Flow['computeRate'],
): Flow {
  return {
    name: `${workspace} ${rank}`,
    workspace,
    token: `demo-${workspace}`,
    pipeline: 'beam-plan',
    rank,
    deadlineMs: rank === 'batch' ? 30_000 : 4_000,
    computeRate,
    buildBody: (number) => ({ question: `Plan for lot ${number}`, texts: [`lot ${number}`] }),
  };
}

/**
 * Creates a flow of booking requests, whose calls are not idempotent.
 *
 * @param workspace - the workspace that sends the requests
 * @param computeRate - returns the requests per second at a time in milliseconds from the start
 * @returns the flow
 * @public
 */
export function createBookingFlow(workspace: string, computeRate: Flow['computeRate']): Flow {
  return {
    name: `${workspace} booking`,
    workspace,
    token: `demo-${workspace}`,
    pipeline: 'frame-booking',
    rank: 'urgent',
    deadlineMs: 4_000,
    computeRate,
    buildBody: (number) => ({ lot: `lot-${number}`, frame: `frame-${number % 7}` }),
  };
}
