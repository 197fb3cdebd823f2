import { listEntries, type RankId } from '@endiveferry/base';
import type { Configuration } from '@endiveferry/settings';

import { benchWorkspaces, createPlanFlow } from '../benchConfiguration.js';
import type { Flow } from '../runLoad.js';
import {
  compareWithLightLoad,
  computeGoodput,
  createMinTarget,
  SETTLE_MS,
  LIGHT_LOAD_MS,
  type RunRecord,
  type Scenario,
  type Target,
} from './Scenario.js';

type RankName = 'urgent' | 'standard' | 'batch';

const DURATION_MS = 18_000;
/** Time from the first increase of the surge to the second, in milliseconds. */
const SURGE_STEP_MS = 6_000;
/** Request rate of each rank under light load, as a share of the capacity. */
const lightLoadShares: Readonly<Record<RankName, number>> = {
  urgent: 0.1,
  standard: 0.1,
  batch: 0.1,
};

/** Creates a flow per workspace and spreads a rank's request rate evenly over them. */
function createRankFlows(rank: RankName, computeRate: Flow['computeRate']): readonly Flow[] {
  return benchWorkspaces.map((workspace) =>
    createPlanFlow(workspace, rank, (at) => computeRate(at) / benchWorkspaces.length),
  );
}

/** Creates flows whose rates change from light load to shares of the capacity by rank. */
function createStepFlows(capacity: number, loadShares: Readonly<Record<RankName, number>>) {
  return (Object.keys(loadShares) as RankName[]).flatMap((rank) =>
    createRankFlows(
      rank,
      (at) => capacity * (at < LIGHT_LOAD_MS ? lightLoadShares[rank] : loadShares[rank]),
    ),
  );
}

/** Creates the target for a rank's goodput against its guaranteed share during an overload. */
function createFloorTarget(
  record: RunRecord,
  rank: RankName,
  demand: number,
  floor: number,
): Target {
  const samples = record.samples.filter(({ flow }) => flow.rank === rank);
  const goodput = computeGoodput(samples, LIGHT_LOAD_MS + SETTLE_MS, record.durationMs);
  const guaranteed = Math.min(demand, floor) * record.capacity;
  return createMinTarget(`${rank}: goodput against min(demand, floor)`, goodput / guaranteed, 0.95);
}

const createUrgentTarget = (record: RunRecord) =>
  createMinTarget(
    'urgent: attainment against unloaded',
    compareWithLightLoad(record, ({ flow }) => flow.rank === 'urgent'),
    0.99,
  );

function getFloorShare(configuration: Configuration, rank: RankName): number {
  const found = listEntries(configuration.ranks).find(([id]) => id === (rank as RankId));
  return found?.[1].floorShare ?? 0;
}

/** Floors in the example configuration that the targets rely on. */
const floors = { standard: 0.2, batch: 0.1 } as const;

function assertFloors(configuration: Configuration): void {
  for (const rank of ['standard', 'batch'] as const) {
    if (getFloorShare(configuration, rank) !== floors[rank]) {
      throw new Error(`unexpected floor of rank ${rank} in the example configuration`);
    }
  }
}

/** The request rate doubles twice, from 0.45 to 0.9 to 1.8 times the capacity. */
export const surge: Scenario = {
  name: 'surge',
  durationMs: DURATION_MS,
  buildFlows(capacity) {
    const computeLoadFactor = (at: number) => {
      if (at < LIGHT_LOAD_MS) return 0.45;
      return at < LIGHT_LOAD_MS + SURGE_STEP_MS ? 0.9 : 1.8;
    };
    const mix: Readonly<Record<RankName, number>> = { urgent: 0.3, standard: 0.4, batch: 0.3 };
    return (Object.keys(mix) as RankName[]).flatMap((rank) =>
      createRankFlows(rank, (at) => capacity * computeLoadFactor(at) * mix[rank]),
    );
  },
  evaluate(record) {
    const peakFrom = LIGHT_LOAD_MS + SURGE_STEP_MS + SETTLE_MS;
    const goodput = computeGoodput(record.samples, peakFrom, record.durationMs);
    return [
      createUrgentTarget(record),
      createMinTarget('goodput against capacity at the peak', goodput / record.capacity, 0.95),
    ];
  },
};

/** The least urgent rank sends five times the capacity. */
export const floodLow: Scenario = {
  name: 'flood-low',
  durationMs: DURATION_MS,
  configure: assertFloors,
  buildFlows: (capacity) => createStepFlows(capacity, { urgent: 0.2, standard: 0.3, batch: 5 }),
  evaluate: (record) => [
    createUrgentTarget(record),
    createFloorTarget(record, 'standard', 0.3, floors.standard),
  ],
};

/** The most urgent rank sends five times the capacity. */
export const floodUrgent: Scenario = {
  name: 'flood-urgent',
  durationMs: DURATION_MS,
  configure: assertFloors,
  buildFlows: (capacity) => createStepFlows(capacity, { urgent: 5, standard: 0.3, batch: 0.2 }),
  evaluate: (record) => [
    createFloorTarget(record, 'standard', 0.3, floors.standard),
    createFloorTarget(record, 'batch', 0.2, floors.batch),
  ],
};

const LARGE_WORKSPACE = 'cooperativa-uruguay';
/** Share of the capacity that each workspace has by its weight. */
const weightShares: Readonly<Record<string, number>> = {
  'taller-paysandu': 1 / 8,
  'taller-salto': 1 / 8,
  'taller-fray-bentos': 1 / 8,
  'hilanderia-del-litoral': 3 / 8,
  [LARGE_WORKSPACE]: 2 / 8,
};
/** Request rate of the other workspaces, as a multiple of their shares. */
const SMALL_DEMAND_FACTOR = 0.5;
/** Request rate of the large workspace, as a multiple of its share. */
const LARGE_DEMAND_FACTOR = 20;

/** One workspace sends twenty times its share, and the load balancer is uneven. */
export const largeCaller: Scenario = {
  name: 'large-caller',
  durationMs: DURATION_MS,
  skew: 0.2,
  buildFlows: (capacity) =>
    benchWorkspaces.map((workspace) => {
      const share = (weightShares[workspace] ?? 0) * capacity;
      return createPlanFlow(workspace, 'standard', (at) => {
        if (workspace !== LARGE_WORKSPACE) return share * SMALL_DEMAND_FACTOR;
        return at < LIGHT_LOAD_MS ? 0 : share * LARGE_DEMAND_FACTOR;
      });
    }),
  evaluate: (record) =>
    benchWorkspaces
      .filter((workspace) => workspace !== LARGE_WORKSPACE)
      .map((workspace) =>
        createMinTarget(
          `${workspace}: attainment against what it has alone`,
          compareWithLightLoad(record, ({ flow }) => flow.workspace === workspace),
          0.99,
        ),
      ),
};
