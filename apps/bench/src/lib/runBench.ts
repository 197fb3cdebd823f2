import { parseArgs } from 'node:util';

import { setLogWriter } from '@endiveferry/telemetry';

import { runControlCost } from './experiments/controlCost.js';
import {
  runConfigChange,
  runDrainServer,
  runHostKill,
  runPartition,
  runPause,
  runRollingRestart,
} from './experiments/fleetExperiments.js';
import { runOverhead } from './experiments/overhead.js';
import { runScenario, type SideResult } from './runScenario.js';
import { createAffinityScenario } from './scenarios/createAffinityScenario.js';
import { deadServer, silent, slowStage } from './scenarios/faultScenarios.js';
import { floodLow, floodUrgent, largeCaller, surge } from './scenarios/overloadScenarios.js';
import type { Scenario } from './scenarios/Scenario.js';
import { writeReport } from './writeReport.js';

const EXIT_USAGE = 2;
const DEFAULT_SEED = 1;

/** Runs one experiment; the result is printed as it is. */
type RunExperiment = (seed: number, reportFolder: string | undefined) => Promise<object>;

const createFixed = (scenario: Scenario) => () => scenario;

/** Leaves out what only plots need. */
const omitTimeline = (key: string, value: unknown) => (key === 'timeline' ? undefined : value);

const createExperiment =
  (createScenario: () => Scenario): RunExperiment =>
  async (seed, reportFolder) => {
    const { name } = createScenario();
    const { product, baseline } = await runScenario(createScenario, seed);
    if (reportFolder !== undefined) await writeReport(reportFolder, name, { product, baseline });
    return { scenario: name, seed, product, baseline };
  };

const experiments: Readonly<Record<string, RunExperiment>> = {
  surge: createExperiment(createFixed(surge)),
  'flood-low': createExperiment(createFixed(floodLow)),
  'flood-urgent': createExperiment(createFixed(floodUrgent)),
  'large-caller': createExperiment(createFixed(largeCaller)),
  'slow-stage': createExperiment(createFixed(slowStage)),
  'dead-server': createExperiment(createFixed(deadServer)),
  silent: createExperiment(createFixed(silent)),
  affinity: createExperiment(createAffinityScenario),
  overhead: runOverhead,
  'config-change': runConfigChange,
  'drain-server': runDrainServer,
  'rolling-restart': runRollingRestart,
  'host-kill': runHostKill,
  partition: runPartition,
  pause: runPause,
  'control-cost': runControlCost,
};

function printTargets(name: string, side: Pick<SideResult, 'targets'>): void {
  for (const target of side.targets) {
    const relation = target.direction === 'at-least' ? '>=' : '<=';
    const mark = target.isMet ? 'met   ' : 'MISSED';
    process.stdout.write(
      `${mark} ${name} ${target.name}: ${target.value.toFixed(3)} (${relation} ${target.bound})\n`,
    );
  }
}

function printSafety(name: string, { lost, doubled, falseNotRun }: SideResult): void {
  process.stdout.write(
    `       ${name} lost ${lost}, doubled ${doubled}, false not-run ${falseNotRun}\n`,
  );
}

/** An experiment with targets, and perhaps with a plain gateway to compare with. */
interface JudgedResult {
  readonly product: SideResult;
  readonly baseline: SideResult | null;
}

function isJudged(result: object): result is JudgedResult {
  return 'baseline' in result && 'product' in result && 'targets' in (result.product as object);
}

function printResult({ product, baseline }: JudgedResult): void {
  printTargets('product ', product);
  printSafety('product ', product);
  if (baseline === null) return;
  printTargets('baseline', baseline);
  printSafety('baseline', baseline);
}

/**
 * Runs one experiment and prints its result; the last line is one JSON object.
 *
 * @param args - the command-line arguments
 * @public
 */
export async function runBench(args: readonly string[]): Promise<void> {
  const { values, positionals } = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      json: { type: 'boolean', default: false },
      seed: { type: 'string', default: String(DEFAULT_SEED) },
      report: { type: 'string' },
    },
  });
  const [name = ''] = positionals;
  const experiment = Object.hasOwn(experiments, name) ? experiments[name] : undefined;
  if (experiment === undefined) {
    process.stderr.write(`usage: npm run bench -- SCENARIO [--json] [--seed N] [--report DIR]\n`);
    process.stderr.write(`SCENARIO is one of ${Object.keys(experiments).join(', ')}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  setLogWriter(() => undefined);
  const result = await experiment(Number(values.seed), values.report);
  if (!values.json && isJudged(result)) printResult(result);
  process.stdout.write(`${JSON.stringify(result, omitTimeline)}\n`);
  process.exit(0);
}
