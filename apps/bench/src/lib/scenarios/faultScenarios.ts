import { poolIdSchema } from '@endiveferry/base';

import { benchWorkspaces, createBookingFlow, createPlanFlow } from '../benchConfiguration.js';
import type { Flow, Sample } from '../runLoad.js';
import type { StandIns } from '../standins/startStandIns.js';
import {
  compareWithLightLoad,
  computeAttainment,
  createMinTarget,
  createMaxTarget,
  type RunRecord,
  type Scenario,
} from './Scenario.js';

const DURATION_MS = 16_000;
const FAULT_AT_MS = 8_000;
/** Factor on the service time of the slow engine. */
const SLOWDOWN = 5;
/** Maximum ratio of retries and hedges to first attempts. */
const MAX_RETRY_SHARE = 0.1;
/** Share of the open connections that stop passing traffic. */
const BLACKHOLED_SHARE = 1 / 3;
/** Request rate as a share of the capacity. */
const LOAD_SHARE = 0.5;

const enginePool = poolIdSchema.parse('models');

function buildMixedFlows(capacity: number): readonly Flow[] {
  const rate = (capacity * LOAD_SHARE) / benchWorkspaces.length;
  return benchWorkspaces.flatMap((workspace) => [
    createPlanFlow(workspace, 'urgent', () => rate * 0.6),
    createPlanFlow(workspace, 'standard', () => rate * 0.4),
    createBookingFlow(workspace, () => 1),
  ]);
}

function getFirstEngine(standIns: StandIns) {
  const [engine] = standIns.listPool(enginePool);
  if (engine === undefined) throw new Error('the example configuration has no model engine');
  return engine;
}

/** Returns whether a request can be retried after a fault; bookings cannot, so they may fail. */
const isPlan = ({ flow }: Sample) => flow.pipeline === 'beam-plan';

function evaluateFault(record: RunRecord) {
  const attainment = compareWithLightLoad(
    record,
    (sample) => isPlan(sample) && sample.flow.rank === 'urgent',
  );
  const targets = [createMinTarget('urgent: attainment against unloaded', attainment, 0.97)];
  if (record.retryShare === undefined) return targets;
  return [
    ...targets,
    createMaxTarget('retries against first tries', record.retryShare, MAX_RETRY_SHARE),
  ];
}

/** One engine becomes five times as slow. */
export const slowStage: Scenario = {
  name: 'slow-stage',
  durationMs: DURATION_MS,
  buildFlows: buildMixedFlows,
  actions: [
    {
      atMs: FAULT_AT_MS,
      run: ({ standIns }) => {
        getFirstEngine(standIns).faults.slowdown = SLOWDOWN;
      },
    },
  ],
  evaluate: evaluateFault,
};

/** One engine stops and closes its connections. */
export const deadServer: Scenario = {
  name: 'dead-server',
  durationMs: DURATION_MS,
  buildFlows: buildMixedFlows,
  actions: [{ atMs: FAULT_AT_MS, run: ({ standIns }) => getFirstEngine(standIns).stop() }],
  evaluate: evaluateFault,
};

/** A third of the open connections stop passing traffic, while new connections work. */
export const silent: Scenario = {
  name: 'silent',
  durationMs: DURATION_MS,
  buildFlows: buildMixedFlows,
  actions: [
    {
      atMs: FAULT_AT_MS,
      run({ standIns, random }) {
        for (const server of standIns.servers.values()) {
          server.blackholeConnections(BLACKHOLED_SHARE, random);
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
