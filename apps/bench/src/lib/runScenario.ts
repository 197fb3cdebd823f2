import { createRandom, type Random } from '@endiveferry/base';

import {
  BENCH_TOKEN_INTERVAL_MS,
  computeCapacity,
  readBenchConfiguration,
} from './benchConfiguration.js';
import { startBaseline } from './startBaseline.js';
import { createFleet, type Fleet } from './createFleet.js';
import { runLoad } from './runLoad.js';
import type { RunRecord, Scenario, Target } from './scenarios/Scenario.js';
import { LIGHT_LOAD_MS } from './scenarios/Scenario.js';
import { startStandIns, type StandIns } from './standins/startStandIns.js';
import { countAttainment, summarize, type RunSummary } from './summarize.js';

/** Interval of the attainment timeline, in milliseconds. */
const PLOT_STEP_MS = 500;

/**
 * Figures measured for one system, the product or the baseline.
 *
 * @public
 */
export interface SystemResult extends RunSummary {
  /** Capacity of the engines, in responses per second. */
  readonly capacity: number;
  /** Attained requests per second over the entire run, divided by the capacity. */
  readonly goodputShare: number;
  /** Retries and hedges divided by first attempts; undefined for the baseline. */
  readonly retryShare: number | undefined;
  readonly targets: readonly Target[];
  /** Share of attained requests by rank in each interval; null where none was sent. */
  readonly timeline: Readonly<Record<string, readonly (number | null)[]>>;
}

/** The product or the baseline, with its stand-ins. */
interface SystemUnderTest {
  readonly standIns: StandIns;
  readonly fleet: Fleet | undefined;
  readonly listAddresses: () => readonly string[];
  readonly computeRetryShare: () => number | undefined;
  readonly close: () => Promise<void>;
}

async function startProductSystem(scenario: Scenario, seed: number): Promise<SystemUnderTest> {
  const source = await readBenchConfiguration();
  scenario.configure?.(source);
  const fleet = await createFleet({ source, seed, tokenIntervalMs: BENCH_TOKEN_INTERVAL_MS });
  const listReady = () =>
    [...fleet.daemons.values()]
      .filter((daemon) => daemon.state() === 'ready')
      .map((daemon) => daemon.addresses.callers);
  return {
    standIns: fleet.standIns,
    fleet,
    listAddresses: listReady,
    computeRetryShare() {
      const pools = [...fleet.daemons.values()].flatMap((daemon) => daemon.status().pools);
      const firstAttempts = pools.reduce((sum, { firstTries }) => sum + firstTries, 0);
      const retries = pools.reduce((sum, pool) => sum + pool.retries, 0);
      return firstAttempts === 0 ? 0 : retries / firstAttempts;
    },
    close: () => fleet.close(),
  };
}

async function startBaselineSystem(scenario: Scenario, seed: number): Promise<SystemUnderTest> {
  const source = await readBenchConfiguration();
  scenario.configure?.(source);
  const standIns = await startStandIns(source, createRandom(seed), BENCH_TOKEN_INTERVAL_MS);
  const hostCount = Object.keys(source.hosts).length;
  const baseline = await startBaseline(standIns.configuration, hostCount);
  return {
    standIns,
    fleet: undefined,
    listAddresses: () => baseline.addresses,
    computeRetryShare: () => undefined,
    async close() {
      await baseline.close();
      await standIns.close();
    },
  };
}

function scheduleActions(scenario: Scenario, system: SystemUnderTest, random: Random): void {
  for (const { atMs, run } of scenario.actions ?? []) {
    setTimeout(() => void run({ standIns: system.standIns, random, fleet: system.fleet }), atMs);
  }
}

/** Computes the capacity from the service times under light load, in responses per second. */
function measureCapacity(system: SystemUnderTest, startedAt: number): number {
  const engines = [...system.standIns.servers.values()].filter(({ serverId }) =>
    serverId.startsWith('engine'),
  );
  const lightLoadExecutions = system.standIns.executionLog
    .list()
    .filter(
      ({ path, startedAt: at, endedAt }) =>
        path === '/v1/completions' && endedAt !== undefined && at < startedAt + LIGHT_LOAD_MS,
    );
  const totalMs = lightLoadExecutions.reduce(
    (sum, { startedAt: at, endedAt = at }) => sum + endedAt - at,
    0,
  );
  const pool = Object.values(system.standIns.configuration.pools).find(
    ({ kind }) => kind === 'model-engine',
  );
  const slots = engines.length * (pool?.serverConcurrency ?? 0);
  return lightLoadExecutions.length === 0
    ? 0
    : (slots * lightLoadExecutions.length * 1_000) / totalMs;
}

function buildTimeline(record: RunRecord): SystemResult['timeline'] {
  const ranks = Object.keys(record.summary.attainmentByRank);
  const steps = Math.ceil(record.durationMs / PLOT_STEP_MS);
  return Object.fromEntries(
    ranks.map((rank) => {
      const samples = record.samples.filter(({ flow }) => flow.rank === rank);
      const byStep = countAttainment(samples, ({ sentAtMs }) =>
        String(Math.floor(sentAtMs / PLOT_STEP_MS)),
      );
      const values = Array.from(
        { length: steps },
        (_value, step) => byStep[String(step)]?.share ?? null,
      );
      return [rank, values];
    }),
  );
}

async function measureSystem(
  scenario: Scenario,
  system: SystemUnderTest,
  seed: number,
): Promise<SystemResult> {
  const random = createRandom(seed);
  const nominalCapacity = computeCapacity(system.standIns.configuration);
  const startedAt = performance.now();
  scheduleActions(scenario, system, random);
  const samples = await runLoad({
    flows: scenario.buildFlows(nominalCapacity),
    durationMs: scenario.durationMs,
    random,
    listAddresses: system.listAddresses,
    ...(scenario.skew === undefined ? {} : { skew: scenario.skew }),
  });
  const summary = summarize(samples, system.standIns.executionLog);
  const capacity = measureCapacity(system, startedAt);
  const record: RunRecord = {
    samples,
    summary,
    standIns: system.standIns,
    capacity,
    lightLoadMs: LIGHT_LOAD_MS,
    durationMs: scenario.durationMs,
    retryShare: system.computeRetryShare(),
  };
  const attained = samples.filter(({ isAttained }) => isAttained).length;
  return {
    ...summary,
    capacity,
    goodputShare: attained / (scenario.durationMs / 1_000) / capacity,
    retryShare: record.retryShare,
    targets: scenario.evaluate(record),
    timeline: buildTimeline(record),
  };
}

/**
 * Runs a scenario against the product and then against the plain gateway.
 *
 * @param createScenario - creates the scenario; called once for each system
 * @param seed - seed of the load and the faults
 * @returns the figures of both systems
 * @public
 */
export async function runScenario(
  createScenario: () => Scenario,
  seed: number,
): Promise<{ readonly product: SystemResult; readonly baseline: SystemResult }> {
  const runWith = async (start: (scenario: Scenario, seed: number) => Promise<SystemUnderTest>) => {
    const scenario = createScenario();
    const system = await start(scenario, seed);
    try {
      return await measureSystem(scenario, system, seed);
    } finally {
      await system.close();
    }
  };
  const product = await runWith(startProductSystem);
  const baseline = await runWith(startBaselineSystem);
  return { product, baseline };
}
