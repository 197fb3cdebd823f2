import { listEntries, type PipelineId, type StageId } from '@endiveferry/base';

import type { Configuration, PoolKind, Stage } from './configuration.js';

/**
 * An issue in the merged document that has not been attributed to a source file yet.
 *
 * @internal
 */
export interface DocumentIssue {
  readonly keys: readonly PropertyKey[];
  readonly reason: string;
}

/**
 * The ids that a document defines. They are collected before invalid values are removed, so that a
 * reference to an invalid entity is not reported as a reference to a missing one.
 *
 * @internal
 */
export interface KnownIds {
  /** Returns whether the section defines the id. */
  has(section: keyof Configuration, id: string): boolean;
  /** Returns whether the pipeline defines the stage. */
  hasStage(pipelineId: string, stageId: string): boolean;
}

/** Stage fields that are required for each kind of pool. */
const requiredStageFields: Record<PoolKind, readonly (keyof Stage)[]> = {
  'model-engine': ['model', 'maxTokens'],
  encoder: [],
  retriever: [],
  reranker: [],
  'plain-service': ['path'],
};

/** Fields of `input` that are required for each kind of pool. */
const requiredInputFields: Record<PoolKind, readonly string[]> = {
  'model-engine': ['prompt'],
  encoder: ['texts'],
  retriever: ['query'],
  reranker: ['query', 'documents'],
  'plain-service': [],
};

function checkHosts(configuration: Configuration, known: KnownIds): DocumentIssue[] {
  return listEntries(configuration.hosts).flatMap(([id, host]) =>
    !known.has('availabilityZones', host.availabilityZone)
      ? [
          {
            keys: ['hosts', id, 'availabilityZone'],
            reason: `availability zone ${host.availabilityZone} does not exist`,
          },
        ]
      : [],
  );
}

function checkRanks(configuration: Configuration): DocumentIssue[] {
  const issues: DocumentIssue[] = [];
  const ranks = listEntries(configuration.ranks);
  const floorSum = ranks.reduce((sum, [, rank]) => sum + rank.floorShare, 0);
  if (ranks.length === 0) issues.push({ keys: ['ranks'], reason: 'must have at least one rank' });
  if (floorSum > 1) {
    issues.push({ keys: ['ranks'], reason: `floor shares add up to ${floorSum}, which exceeds 1` });
  }
  const seenOrders = new Map<number, string>();
  for (const [id, rank] of ranks) {
    const duplicate = seenOrders.get(rank.order);
    if (duplicate !== undefined) {
      issues.push({ keys: ['ranks', id, 'order'], reason: `rank ${duplicate} has the same order` });
    }
    seenOrders.set(rank.order, id);
  }
  return issues;
}

function checkWorkspaces(configuration: Configuration, known: KnownIds): DocumentIssue[] {
  const issues: DocumentIssue[] = [];
  const seenHashes = new Map<string, string>();
  for (const [id, workspace] of listEntries(configuration.workspaces)) {
    workspace.keyHashes.forEach((hash, index) => {
      const duplicate = seenHashes.get(hash);
      if (duplicate !== undefined) {
        issues.push({
          keys: ['workspaces', id, 'keyHashes', index],
          reason: `workspace ${duplicate} has the same key`,
        });
      }
      seenHashes.set(hash, id);
    });
    workspace.pipelines?.forEach((pipeline, index) => {
      if (known.has('pipelines', pipeline)) return;
      issues.push({
        keys: ['workspaces', id, 'pipelines', index],
        reason: `pipeline ${pipeline} does not exist`,
      });
    });
  }
  return issues;
}

function checkPools(configuration: Configuration, known: KnownIds): DocumentIssue[] {
  const issues: DocumentIssue[] = [];
  for (const [poolId, pool] of listEntries(configuration.pools)) {
    for (const [serverId, server] of listEntries(pool.backendServers)) {
      const keys = ['pools', poolId, 'backendServers', serverId];
      if (!known.has('availabilityZones', server.availabilityZone)) {
        issues.push({
          keys: [...keys, 'availabilityZone'],
          reason: `availability zone ${server.availabilityZone} does not exist`,
        });
      }
      server.models.forEach((model, index) => {
        if (known.has('models', model)) return;
        issues.push({ keys: [...keys, 'models', index], reason: `model ${model} does not exist` });
      });
    }
  }
  return issues;
}

function checkModel(
  configuration: Configuration,
  known: KnownIds,
  stage: Stage,
  keys: readonly PropertyKey[],
): DocumentIssue[] {
  if (stage.model === undefined) return [];
  if (!known.has('models', stage.model)) {
    return [{ keys: [...keys, 'model'], reason: `model ${stage.model} does not exist` }];
  }
  const model = configuration.models[stage.model];
  if (model === undefined) return [];
  if (stage.adapter === undefined || model.adapters.includes(stage.adapter)) return [];
  return [
    {
      keys: [...keys, 'adapter'],
      reason: `model ${stage.model} has no adapter ${stage.adapter}`,
    },
  ];
}

/** Checks that each pointer leads to the request or to the result of an earlier stage. */
function checkPointers(
  stage: Stage,
  isEarlierStage: (stageId: string) => boolean,
  keys: readonly PropertyKey[],
): DocumentIssue[] {
  return listEntries(stage.input).flatMap(([field, source]) => {
    const parts = 'concat' in source ? source.concat : [source];
    return parts.flatMap((part) => {
      if (typeof part === 'string' || !('pointer' in part)) return [];
      const [, root, stageId = ''] = part.pointer.split('/');
      if (root === 'request') return [];
      if (root === 'stages' && isEarlierStage(stageId)) return [];
      const reason =
        root === 'stages'
          ? `no earlier stage is named ${stageId}`
          : 'must start with /request or /stages';
      return [{ keys: [...keys, 'input', field], reason }];
    });
  });
}

interface StagePosition {
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  readonly earlierStages: readonly StageId[];
}

function checkStage(
  configuration: Configuration,
  known: KnownIds,
  stage: Stage,
  position: StagePosition,
): DocumentIssue[] {
  const keys = ['pipelines', position.pipelineId, 'stages', position.stageId];
  const validStages = configuration.pipelines[position.pipelineId]?.stages ?? {};
  // The position of an invalid stage is unknown, so references to it are not reported.
  const isEarlierStage = (stageId: string) =>
    position.earlierStages.some((id) => id === stageId) ||
    (known.hasStage(position.pipelineId, stageId) && !Object.hasOwn(validStages, stageId));
  const issues = [
    ...checkModel(configuration, known, stage, keys),
    ...checkPointers(stage, isEarlierStage, keys),
  ];
  if (!known.has('pools', stage.pool)) {
    return [...issues, { keys: [...keys, 'pool'], reason: `pool ${stage.pool} does not exist` }];
  }
  const kind = configuration.pools[stage.pool]?.kind;
  return kind === undefined ? issues : [...issues, ...checkStageKind(kind, stage, keys)];
}

function checkStageKind(
  kind: PoolKind,
  stage: Stage,
  keys: readonly PropertyKey[],
): DocumentIssue[] {
  const issues: DocumentIssue[] = [];
  for (const field of requiredStageFields[kind]) {
    if (stage[field] === undefined) {
      issues.push({ keys: [...keys, field], reason: `is required for a ${kind}` });
    }
  }
  for (const field of requiredInputFields[kind]) {
    if (stage.input[field] === undefined) {
      issues.push({ keys: [...keys, 'input', field], reason: `is required for a ${kind}` });
    }
  }
  if (!stage.isIdempotent && kind !== 'plain-service') {
    issues.push({
      keys: [...keys, 'isIdempotent'],
      reason: `may be false for plain services only, not for a ${kind}`,
    });
  }
  return issues;
}

function checkPipelines(configuration: Configuration, known: KnownIds): DocumentIssue[] {
  const issues: DocumentIssue[] = [];
  for (const [id, pipeline] of listEntries(configuration.pipelines)) {
    const ranks = [pipeline.rank, ...(pipeline.allowedRanks ?? [])];
    for (const rank of new Set(ranks)) {
      if (known.has('ranks', rank)) continue;
      const field = rank === pipeline.rank ? 'rank' : 'allowedRanks';
      issues.push({ keys: ['pipelines', id, field], reason: `rank ${rank} does not exist` });
    }
    const stages = listEntries(pipeline.stages).sort(([, a], [, b]) => a.order - b.order);
    stages.forEach(([stageId, stage], index) => {
      const earlierStages = stages.slice(0, index).map(([earlierId]) => earlierId);
      const position = { pipelineId: id, stageId, earlierStages };
      issues.push(...checkStage(configuration, known, stage, position));
      if (index > 0 && stages[index - 1]?.[1].order === stage.order) {
        issues.push({
          keys: ['pipelines', id, 'stages', stageId, 'order'],
          reason: `stage ${stages[index - 1]?.[0] ?? ''} has the same order`,
        });
      }
    });
  }
  return issues;
}

/**
 * Checks the constraints that span several values: references, sums and uniqueness.
 *
 * @param configuration - a configuration that matches the schema
 * @param known - the ids that the entire document defines
 * @returns every issue
 * @internal
 */
export function checkReferences(
  configuration: Configuration,
  known: KnownIds,
): readonly DocumentIssue[] {
  return [
    ...checkHosts(configuration, known),
    ...checkRanks(configuration),
    ...checkWorkspaces(configuration, known),
    ...checkPools(configuration, known),
    ...checkPipelines(configuration, known),
  ];
}
