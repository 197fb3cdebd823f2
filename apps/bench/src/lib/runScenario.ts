import { createRandom, type Random } from '@endiveferry/base';

import {
  BENCH_TOKEN_INTERVAL_MS,
  computeCapacity,
  readBenchConfiguration,
} from './benchConfiguration.js';
import { startBaseline } from './createBaseline.js';
import { createFleet, type Fleet } from './createFleet.js';
import { runLoad } from './runLoad.js';
import type { RunRecord, Scenario, Target } from './scenarios/Scenario.js';
import { UNLOADED_MS } from './scenarios/Scenario.js';
import { startStandIns, type StandIns } from './standins/startStandIns.js';
import { countAttainment, summarize, type RunSummary } from './summarize.js';

/** Attainment is plotted in steps of this length, in milliseconds. */
const PLOT_STEP_MS = 500;

/**
 * What one side of an experiment measured.
 *
 * @public
 */
export interface SideResult extends RunSummary {
  /** Answers a second that the engines could give. */
  readonly capacity: number;
  /** Attained requests a second against the capacity, over the whole run. */
  readonly goodputShare: number;
  readonly retryShare: number | undefined;
  readonly targets: readonly Target[];
  /** Attainment by rank over time, for plots. */
  readonly timeline: Readonly<Record<string, readonly (number | null)[]>>;
}

interface Side {
  readonly standIns: StandIns;
  readonly fleet: Fleet | undefined;
  readonly listAddresses: () => readonly string[];
  readonly findRetryShare: () => number | undefined;
  readonly close: () => Promise<void>;
}

async function startProduct(scenario: Scenario, seed: number): Promise<Side> {
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
    findRetryShare() {
      const statuses = [...fleet.daemons.values()].flatMap((daemon) => daemon.status().pools);
      const first = statuses.reduce((sum, { firstTries }) => sum + firstTries, 0);
      const retries = statuses.reduce((sum, pool) => sum + pool.retries, 0);
      return first === 0 ? 0 : retries / first;
    },
    close: () => fleet.close(),
  };
}

async function startPlain(scenario: Scenario, seed: number): Promise<Side> {
  const source = await readBenchConfiguration();
  scenario.configure?.(source);
  const standIns = await startStandIns(source, createRandom(seed), BENCH_TOKEN_INTERVAL_MS);
  const hostCount = Object.keys(source.hosts).length;
  const baseline = await startBaseline(standIns.configuration, hostCount);
  return {
    standIns,
    fleet: undefined,
    listAddresses: () => baseline.addresses,
    findRetryShare: () => undefined,
    async close() {
      await baseline.close();
      await standIns.close();
    },
  };
}

function scheduleActions(scenario: Scenario, side: Side, random: Random): void {
  for (const { atMs, run } of scenario.actions ?? []) {
    setTimeout(() => void run({ standIns: side.standIns, random, fleet: side.fleet }), atMs);
  }
}

/** Answers a second that the engines could give, by the time they took in the light phase. */
function measureCapacity(side: Side, startedAt: number): number {
  const engines = [...side.standIns.servers.values()].filter(({ serverId }) =>
    serverId.startsWith('engine'),
  );
  const light = side.standIns.executionLog
    .list()
    .filter(
      ({ path, startedAt: at, endedAt }) =>
        path === '/v1/completions' && endedAt !== undefined && at < startedAt + UNLOADED_MS,
    );
  const totalMs = light.reduce((sum, { startedAt: at, endedAt = at }) => sum + endedAt - at, 0);
  const pool = Object.values(side.standIns.configuration.pools).find(
    ({ kind }) => kind === 'model-engine',
  );
  const slots = engines.length * (pool?.serverConcurrency ?? 0);
  return light.length === 0 ? 0 : (slots * light.length * 1_000) / totalMs;
}

function buildTimeline(record: RunRecord): SideResult['timeline'] {
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

async function runSide(scenario: Scenario, side: Side, seed: number): Promise<SideResult> {
  const random = createRandom(seed);
  const nominal = computeCapacity(side.standIns.configuration);
  const startedAt = performance.now();
  scheduleActions(scenario, side, random);
  const samples = await runLoad({
    flows: scenario.buildFlows(nominal),
    durationMs: scenario.durationMs,
    random,
    listAddresses: side.listAddresses,
    ...(scenario.skew === undefined ? {} : { skew: scenario.skew }),
  });
  const summary = summarize(samples, side.standIns.executionLog);
  const capacity = measureCapacity(side, startedAt);
  const record: RunRecord = {
    samples,
    summary,
    standIns: side.standIns,
    capacity,
    unloadedMs: UNLOADED_MS,
    durationMs: scenario.durationMs,
    retryShare: side.findRetryShare(),
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
 * Runs an experiment with the product and then with the plain gateway.
 *
 * @param createScenario - builds the scenario; once for each side
 * @param seed - the seed of load and faults
 * @returns what each side measured
 * @public
 */
export async function runScenario(
  createScenario: () => Scenario,
  seed: number,
): Promise<{ readonly product: SideResult; readonly baseline: SideResult }> {
  const measure = async (start: (scenario: Scenario, seed: number) => Promise<Side>) => {
    const scenario = createScenario();
    const side = await start(scenario, seed);
    try {
      return await runSide(scenario, side, seed);
    } finally {
      await side.close();
    }
  };
  const product = await measure(startProduct);
  const baseline = await measure(startPlain);
  return { product, baseline };
}
