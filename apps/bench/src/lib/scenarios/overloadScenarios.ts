import { listEntries, type RankId } from '@endiveferry/base';
import type { Configuration } from '@endiveferry/settings';

import { benchWorkspaces, createPlanFlow } from '../benchConfiguration.js';
import type { Flow } from '../runLoad.js';
import {
  compareWithUnloaded,
  computeGoodput,
  createMinTarget,
  SETTLE_MS,
  UNLOADED_MS,
  type RunRecord,
  type Scenario,
  type Target,
} from './Scenario.js';

type RankName = 'urgent' | 'standard' | 'batch';

const DURATION_MS = 18_000;
const SURGE_STEP_MS = 6_000;
/** Parts of the capacity that each rank asks for in the light phase. */
const lightShares: Readonly<Record<RankName, number>> = { urgent: 0.1, standard: 0.1, batch: 0.1 };

/** Spreads a rank's rate evenly over all workspaces. */
function spreadFlows(rank: RankName, findRate: Flow['findRate']): readonly Flow[] {
  return benchWorkspaces.map((workspace) =>
    createPlanFlow(workspace, rank, (at) => findRate(at) / benchWorkspaces.length),
  );
}

function buildRankFlows(capacity: number, heavy: Readonly<Record<RankName, number>>) {
  return (Object.keys(heavy) as RankName[]).flatMap((rank) =>
    spreadFlows(rank, (at) => capacity * (at < UNLOADED_MS ? lightShares[rank] : heavy[rank])),
  );
}

/** What a rank kept while another one flooded: its goodput against what it was due. */
function createKept(record: RunRecord, rank: RankName, demand: number, floor: number): Target {
  const samples = record.samples.filter(({ flow }) => flow.rank === rank);
  const goodput = computeGoodput(samples, UNLOADED_MS + SETTLE_MS, record.durationMs);
  const due = Math.min(demand, floor) * record.capacity;
  return createMinTarget(`${rank}: goodput against min(demand, floor)`, goodput / due, 0.95);
}

const createUrgent = (record: RunRecord) =>
  createMinTarget(
    'urgent: attainment against unloaded',
    compareWithUnloaded(record, ({ flow }) => flow.rank === 'urgent'),
    0.99,
  );

function findFloor(configuration: Configuration, rank: RankName): number {
  const found = listEntries(configuration.ranks).find(([id]) => id === (rank as RankId));
  return found?.[1].floorShare ?? 0;
}

/** Floors of the example that the experiments use. */
const floors = { standard: 0.2, batch: 0.1 } as const;

function assertFloors(configuration: Configuration): void {
  for (const rank of ['standard', 'batch'] as const) {
    if (findFloor(configuration, rank) !== floors[rank]) {
      throw new Error(`the floor of ${rank} in the example has changed`);
    }
  }
}

/** Demand doubles, and doubles again. */
export const surge: Scenario = {
  name: 'surge',
  durationMs: DURATION_MS,
  buildFlows(capacity) {
    const findFactor = (at: number) => {
      if (at < UNLOADED_MS) return 0.45;
      return at < UNLOADED_MS + SURGE_STEP_MS ? 0.9 : 1.8;
    };
    const mix: Readonly<Record<RankName, number>> = { urgent: 0.3, standard: 0.4, batch: 0.3 };
    return (Object.keys(mix) as RankName[]).flatMap((rank) =>
      spreadFlows(rank, (at) => capacity * findFactor(at) * mix[rank]),
    );
  },
  evaluate(record) {
    const peakFrom = UNLOADED_MS + SURGE_STEP_MS + SETTLE_MS;
    const goodput = computeGoodput(record.samples, peakFrom, record.durationMs);
    return [
      createUrgent(record),
      createMinTarget('goodput against capacity at the peak', goodput / record.capacity, 0.95),
    ];
  },
};

/** The least urgent rank asks for five times the capacity. */
export const floodLow: Scenario = {
  name: 'flood-low',
  durationMs: DURATION_MS,
  configure: assertFloors,
  buildFlows: (capacity) => buildRankFlows(capacity, { urgent: 0.2, standard: 0.3, batch: 5 }),
  evaluate: (record) => [
    createUrgent(record),
    createKept(record, 'standard', 0.3, floors.standard),
  ],
};

/** The most urgent rank asks for five times the capacity. */
export const floodUrgent: Scenario = {
  name: 'flood-urgent',
  durationMs: DURATION_MS,
  configure: assertFloors,
  buildFlows: (capacity) => buildRankFlows(capacity, { urgent: 5, standard: 0.3, batch: 0.2 }),
  evaluate: (record) => [
    createKept(record, 'standard', 0.3, floors.standard),
    createKept(record, 'batch', 0.2, floors.batch),
  ],
};

const LARGE_WORKSPACE = 'cooperativa-uruguay';
/** Parts of the capacity that are the workspaces' shares by weight. */
const shares: Readonly<Record<string, number>> = {
  'taller-paysandu': 1 / 8,
  'taller-salto': 1 / 8,
  'taller-fray-bentos': 1 / 8,
  'hilanderia-del-litoral': 3 / 8,
  [LARGE_WORKSPACE]: 2 / 8,
};
const SMALL_DEMAND = 0.5;
const LARGE_DEMAND = 20;

/** One workspace asks for twenty times its share, and the balancer is uneven. */
export const largeCaller: Scenario = {
  name: 'large-caller',
  durationMs: DURATION_MS,
  skew: 0.2,
  buildFlows: (capacity) =>
    benchWorkspaces.map((workspace) => {
      const share = (shares[workspace] ?? 0) * capacity;
      return createPlanFlow(workspace, 'standard', (at) => {
        if (workspace !== LARGE_WORKSPACE) return share * SMALL_DEMAND;
        return at < UNLOADED_MS ? 0 : share * LARGE_DEMAND;
      });
    }),
  evaluate: (record) =>
    benchWorkspaces
      .filter((workspace) => workspace !== LARGE_WORKSPACE)
      .map((workspace) =>
        createMinTarget(
          `${workspace}: attainment against what it has alone`,
          compareWithUnloaded(record, ({ flow }) => flow.workspace === workspace),
          0.99,
        ),
      ),
};
