import { workspaceIdSchema, type WorkspaceId } from '@endiveferry/base';
import {
  formatConfigurationIssue,
  readConfiguration,
  type Configuration,
} from '@endiveferry/settings';

import type { Flow } from './runLoad.js';

/** Time between two tokens in experiments, in milliseconds: few tokens, real occupancy. */
export const BENCH_TOKEN_INTERVAL_MS = 40;
/** Tokens of one answer in experiments. */
const BENCH_TOKENS = 8;
/** Calls that an engine runs at once in experiments. */
const BENCH_ENGINE_CONCURRENCY = 4;
/** Time that an engine needs for one answer when the prompt is cached, in milliseconds. */
const BENCH_SERVICE_MS = 10 + BENCH_TOKENS * BENCH_TOKEN_INTERVAL_MS;

/**
 * Reads the Urdimbre example and makes its engines slow and narrow, so that one machine can
 * offer several times their capacity.
 *
 * @returns the configuration
 * @throws Error when the example has faults
 * @public
 */
export async function readBenchConfiguration(): Promise<Configuration> {
  const folder = new URL('../../../../examples/urdimbre', import.meta.url).pathname;
  const read = await readConfiguration(folder);
  if (read.isErr()) throw new Error(read.error.map(formatConfigurationIssue).join('\n'));
  const configuration = read.value;
  for (const pool of Object.values(configuration.pools)) {
    if (pool.kind === 'model-engine') pool.serverConcurrency = BENCH_ENGINE_CONCURRENCY;
  }
  for (const pipeline of Object.values(configuration.pipelines)) {
    for (const stage of Object.values(pipeline.stages)) {
      if (stage.maxTokens === undefined) continue;
      stage.maxTokens = BENCH_TOKENS;
      stage.expectedServiceMs = BENCH_SERVICE_MS;
    }
  }
  for (const workspace of Object.values(configuration.workspaces)) workspace.limits = {};
  return configuration;
}

/**
 * Computes how many answers a second the engines of the experiment can generate.
 *
 * @param configuration - the configuration of the experiment
 * @returns answers a second, with every slot busy all the time
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

/** The workspaces of the experiments. */
export const benchWorkspaces: readonly WorkspaceId[] = [
  'taller-paysandu',
  'taller-salto',
  'taller-fray-bentos',
  'hilanderia-del-litoral',
  'cooperativa-uruguay',
].map((id) => workspaceIdSchema.parse(id));

/**
 * Builds a flow of beam plans.
 *
 * @param workspace - who sends it
 * @param rank - its rank
 * @param findRate - requests a second at a time in milliseconds
 * @returns the flow
 * @public
 */
export function createPlanFlow(
  workspace: string,
  rank: 'urgent' | 'standard' | 'batch',
  findRate: Flow['findRate'],
): Flow {
  return {
    name: `${workspace} ${rank}`,
    workspace,
    token: `demo-${workspace}`,
    pipeline: 'beam-plan',
    rank,
    deadlineMs: rank === 'batch' ? 30_000 : 4_000,
    findRate,
    buildBody: (number) => ({ question: `Plan for lot ${number}`, texts: [`lot ${number}`] }),
  };
}

/**
 * Builds a flow of bookings, which may not be repeated.
 *
 * @param workspace - who sends it
 * @param findRate - requests a second at a time in milliseconds
 * @returns the flow
 * @public
 */
export function createBookingFlow(workspace: string, findRate: Flow['findRate']): Flow {
  return {
    name: `${workspace} booking`,
    workspace,
    token: `demo-${workspace}`,
    pipeline: 'frame-booking',
    rank: 'urgent',
    deadlineMs: 4_000,
    findRate,
    buildBody: (number) => ({ lot: `lot-${number}`, frame: `frame-${number % 7}` }),
  };
}
