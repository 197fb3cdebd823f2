import { poolIdSchema } from '@endiveferry/base';

import { benchWorkspaces, createBookingFlow, createPlanFlow } from '../benchConfiguration.js';
import type { Flow, Sample } from '../runLoad.js';
import type { StandIns } from '../standins/startStandIns.js';
import {
  compareWithUnloaded,
  computeAttainment,
  createMinTarget,
  createMaxTarget,
  type RunRecord,
  type Scenario,
} from './Scenario.js';

const DURATION_MS = 16_000;
const FAULT_AT_MS = 8_000;
const SLOWDOWN = 5;
const RETRY_SHARE_BOUND = 0.1;
const SILENT_SHARE = 1 / 3;
/** Part of the capacity that is asked for. */
const LOAD = 0.5;

const enginePool = poolIdSchema.parse('models');

function buildMixedFlows(capacity: number): readonly Flow[] {
  const rate = (capacity * LOAD) / benchWorkspaces.length;
  return benchWorkspaces.flatMap((workspace) => [
    createPlanFlow(workspace, 'urgent', () => rate * 0.6),
    createPlanFlow(workspace, 'standard', () => rate * 0.4),
    createBookingFlow(workspace, () => 1),
  ]);
}

function findFirstEngine(standIns: StandIns) {
  const [engine] = standIns.listPool(enginePool);
  if (engine === undefined) throw new Error('the example has no engine');
  return engine;
}

/** The calls that may not be repeated are judged by their verdicts, not by attainment. */
const isPlan = ({ flow }: Sample) => flow.pipeline === 'beam-plan';

function evaluateFault(record: RunRecord) {
  const attainment = compareWithUnloaded(
    record,
    (sample) => isPlan(sample) && sample.flow.rank === 'urgent',
  );
  const targets = [createMinTarget('urgent: attainment against unloaded', attainment, 0.97)];
  if (record.retryShare === undefined) return targets;
  return [
    ...targets,
    createMaxTarget('retries against first tries', record.retryShare, RETRY_SHARE_BOUND),
  ];
}

/** One engine becomes five times slower. */
export const slowStage: Scenario = {
  name: 'slow-stage',
  durationMs: DURATION_MS,
  buildFlows: buildMixedFlows,
  actions: [
    {
      atMs: FAULT_AT_MS,
      run: ({ standIns }) => {
        findFirstEngine(standIns).faults.slowdown = SLOWDOWN;
      },
    },
  ],
  evaluate: evaluateFault,
};

/** One engine dies. */
export const deadServer: Scenario = {
  name: 'dead-server',
  durationMs: DURATION_MS,
  buildFlows: buildMixedFlows,
  actions: [{ atMs: FAULT_AT_MS, run: ({ standIns }) => findFirstEngine(standIns).stop() }],
  evaluate: evaluateFault,
};

/** A third of the open connections go silent while new ones work. */
export const silent: Scenario = {
  name: 'silent',
  durationMs: DURATION_MS,
  buildFlows: buildMixedFlows,
  actions: [
    {
      atMs: FAULT_AT_MS,
      run({ standIns, random }) {
        for (const server of standIns.servers.values()) {
          server.blackholeConnections(SILENT_SHARE, random);
        }
      },
    },
  ],
  evaluate(record) {
    const inFlight = record.samples.filter(
      ({ sentAtMs, latencyMs }) => sentAtMs < FAULT_AT_MS && sentAtMs + latencyMs > FAULT_AT_MS,
    );
    const others = record.samples.filter((sample) => !inFlight.includes(sample));
    return [
      createMinTarget('requests not in progress then: attainment', computeAttainment(others), 1),
      createMinTarget(
        'repeatable requests in progress then: attainment',
        computeAttainment(inFlight.filter(isPlan)),
        0.95,
      ),
    ];
  },
};
