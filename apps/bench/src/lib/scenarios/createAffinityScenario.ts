import { pipelineIdSchema, stageIdSchema, type Random } from '@endiveferry/base';
import { createRandom } from '@endiveferry/base';
import { computePrefixes } from '@endiveferry/routing';
import type { Configuration } from '@endiveferry/settings';

import { benchWorkspaces, createPlanFlow } from '../benchConfiguration.js';
import type { Flow } from '../runLoad.js';
import { createMinTarget, createMaxTarget, type RunRecord, type Scenario } from './Scenario.js';

const DURATION_MS = 16_000;
/** Long texts that many requests begin with. */
const FAMILIES = 40;
const FAMILY_LENGTH = 8 * 256;
const LOAD = 0.6;
const SEED = 11;

/** Families differ in popularity, as customers do. */
function chooseFamily(random: Random): number {
  return Math.floor(FAMILIES * random.nextFraction() ** 2);
}

const buildContext = (family: number) =>
  `Family ${family}: `.repeat(Math.ceil(FAMILY_LENGTH / 10)).slice(0, FAMILY_LENGTH);

/** A pipeline of one stage whose prompt begins with what the caller sends. */
function addPipeline(configuration: Configuration): void {
  const plan = configuration.pipelines[pipelineIdSchema.parse('beam-plan')];
  const generate = plan?.stages[stageIdSchema.parse('generate')];
  if (plan === undefined || generate === undefined) throw new Error('the example has changed');
  configuration.pipelines[pipelineIdSchema.parse('family')] = {
    rank: plan.rank,
    stages: {
      [stageIdSchema.parse('generate')]: {
        ...generate,
        input: {
          prompt: { concat: [{ pointer: '/request/context' }, { pointer: '/request/question' }] },
        },
      },
    },
  };
}

/** Blocks that would have hit if each family had been sent to one engine all along. */
function computeOmniscientHitShare(families: readonly number[]): number {
  const seen = new Set<number>();
  let blocks = 0;
  let hits = 0;
  for (const family of families) {
    const count = computePrefixes(buildContext(family)).length;
    blocks += count;
    if (seen.has(family)) hits += count;
    seen.add(family);
  }
  return hits / blocks;
}

function createFamilyFlow(random: Random, families: number[], rate: number): Flow {
  const [workspace = ''] = benchWorkspaces;
  return {
    ...createPlanFlow(workspace, 'urgent', () => rate),
    pipeline: 'family',
    buildBody(number) {
      const family = chooseFamily(random);
      families.push(family);
      return { context: buildContext(family), question: ` ${number}` };
    },
  };
}

/** Builds the scenario anew for each run, since it remembers the families it drew. */
export function createAffinityScenario(): Scenario {
  let families: number[] = [];
  return {
    name: 'affinity',
    durationMs: DURATION_MS,
    configure: addPipeline,
    buildFlows(capacity) {
      families = [];
      return [createFamilyFlow(createRandom(SEED), families, capacity * LOAD)];
    },
    evaluate(record: RunRecord) {
      const { cacheCounts, servers } = record.standIns;
      const hitShare = cacheCounts.hitBlocks / cacheCounts.blocks;
      const loads = [...servers.values()]
        .filter(({ serverId }) => serverId.startsWith('engine'))
        .map((server) => server.countBusyMs());
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      return [
        createMinTarget(
          'prefix hits against an omniscient router',
          hitShare / computeOmniscientHitShare(families),
          0.85,
        ),
        createMaxTarget('most loaded replica against the mean', Math.max(...loads) / mean, 1.3),
      ];
    },
  };
}
