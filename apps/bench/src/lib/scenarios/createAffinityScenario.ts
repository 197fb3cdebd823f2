import { pipelineIdSchema, stageIdSchema, type Random } from '@endiveferry/base';
import { createRandom } from '@endiveferry/base';
import { computePrefixes } from '@endiveferry/routing';
import type { Configuration } from '@endiveferry/settings';

import { benchWorkspaces, createPlanFlow } from '../benchConfiguration.js';
import type { Flow } from '../runLoad.js';
import { createMinTarget, createMaxTarget, type RunRecord, type Scenario } from './Scenario.js';

const DURATION_MS = 16_000;
/** Number of families: groups of requests whose prompts begin with the same long text. */
const FAMILY_COUNT = 40;
/** Length of a family's common text: 8 blocks of 256 characters. */
const FAMILY_CONTEXT_CHARACTERS = 8 * 256;
/** Request rate as a share of the capacity. */
const LOAD_SHARE = 0.6;
const SEED = 11;

/** Draws a family; families with lower numbers are more popular, as with real customers. */
function chooseFamily(random: Random): number {
  return Math.floor(FAMILY_COUNT * random.nextFraction() ** 2);
}

const buildContext = (family: number) =>
  `Family ${family}: `
    .repeat(Math.ceil(FAMILY_CONTEXT_CHARACTERS / 10))
    .slice(0, FAMILY_CONTEXT_CHARACTERS);

/** Adds a pipeline of one stage whose prompt begins with the `context` field of the request. */
function addPipeline(configuration: Configuration): void {
  const plan = configuration.pipelines[pipelineIdSchema.parse('beam-plan')];
  const generate = plan?.stages[stageIdSchema.parse('generate')];
  if (plan === undefined || generate === undefined)
    throw new Error('the example configuration has no pipeline beam-plan with a stage generate');
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

/** Computes the share of blocks that are cached when each family is always sent to one engine. */
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

/** Creates the scenario; each run needs its own, since it holds the families that it has drawn. */
export function createAffinityScenario(): Scenario {
  let families: number[] = [];
  return {
    name: 'affinity',
    durationMs: DURATION_MS,
    configure: addPipeline,
    buildFlows(capacity) {
      families = [];
      return [createFamilyFlow(createRandom(SEED), families, capacity * LOAD_SHARE)];
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
