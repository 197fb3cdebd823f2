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
import { runHostCost } from './hostCost/runHostCost.js';
import { runScenario, type SystemResult } from './runScenario.js';
import { createAffinityScenario } from './scenarios/createAffinityScenario.js';
import { deadServer, silent, slowStage } from './scenarios/faultScenarios.js';
import { floodLow, floodUrgent, largeCaller, surge } from './scenarios/overloadScenarios.js';
import type { Scenario } from './scenarios/Scenario.js';
import { writeReport } from './writeReport.js';

const EXIT_USAGE = 2;
const DEFAULT_SEED = 1;

/** Runs one experiment and returns the object that is printed as JSON. */
type RunExperiment = (seed: number, reportFolder: string | undefined) => Promise<object>;

/** Creates a factory for a scenario without state of its own, which both systems can share. */
const createScenarioFactory = (scenario: Scenario) => () => scenario;

/** Omits the timeline from the JSON output, since only plots use it. */
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
  surge: createExperiment(createScenarioFactory(surge)),
  'flood-low': createExperiment(createScenarioFactory(floodLow)),
  'flood-urgent': createExperiment(createScenarioFactory(floodUrgent)),
  'large-caller': createExperiment(createScenarioFactory(largeCaller)),
  'slow-stage': createExperiment(createScenarioFactory(slowStage)),
  'dead-server': createExperiment(createScenarioFactory(deadServer)),
  silent: createExperiment(createScenarioFactory(silent)),
  affinity: createExperiment(createAffinityScenario),
  overhead: runOverhead,
  'config-change': runConfigChange,
  'drain-server': runDrainServer,
  'rolling-restart': runRollingRestart,
  'host-kill': runHostKill,
  partition: runPartition,
  pause: runPause,
  'control-cost': runControlCost,
  'host-cost': runHostCost,
};

function printTargets(name: string, result: Pick<SystemResult, 'targets'>): void {
  for (const target of result.targets) {
    const relation = target.direction === 'at-least' ? '>=' : '<=';
    const outcome = target.isMet ? 'met   ' : 'MISSED';
    process.stdout.write(
      `${outcome} ${name} ${target.name}: ${target.value.toFixed(3)} (${relation} ${target.bound})\n`,
    );
  }
}

function printSafetyCounts(name: string, { lost, doubled, falseNotRun }: SystemResult): void {
  process.stdout.write(
    `       ${name} lost ${lost}, doubled ${doubled}, false not-run ${falseNotRun}\n`,
  );
}

/** Result with targets; `baseline` is null where the plain gateway is not measured. */
interface EvaluatedResult {
  readonly product: SystemResult;
  readonly baseline: SystemResult | null;
}

function hasTargets(result: object): result is EvaluatedResult {
  return 'baseline' in result && 'product' in result && 'targets' in (result.product as object);
}

function printResult({ product, baseline }: EvaluatedResult): void {
  printTargets('product ', product);
  printSafetyCounts('product ', product);
  if (baseline === null) return;
  printTargets('baseline', baseline);
  printSafetyCounts('baseline', baseline);
}

/**
 * Runs the experiment named in the arguments and prints its result; the last line is a JSON object.
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
  if (!values.json && hasTargets(result)) printResult(result);
  process.stdout.write(`${JSON.stringify(result, omitTimeline)}\n`);
  process.exit(0);
}
