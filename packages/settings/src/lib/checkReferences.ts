import { listEntries, type PipelineId, type StageId } from '@endiveferry/base';

import type { Configuration, PoolKind, Stage } from './configuration.js';

/**
 * A fault in the merged document, before it is traced to a file.
 *
 * @internal
 */
export interface DocumentIssue {
  readonly keys: readonly PropertyKey[];
  readonly reason: string;
}

/**
 * The ids that a document uses, read before its broken parts are set aside, so that a reference to a
 * broken entity is not reported as a reference to a missing one.
 *
 * @internal
 */
export interface KnownIds {
  /** Tells whether the section has the id. */
  has(section: keyof Configuration, id: string): boolean;
  /** Tells whether the pipeline has the stage. */
  hasStage(pipelineId: string, stageId: string): boolean;
}

/** The stage fields that each kind of pool needs. */
const requiredStageFields: Record<PoolKind, readonly (keyof Stage)[]> = {
  'model-engine': ['model', 'maxTokens'],
  encoder: [],
  retriever: [],
  reranker: [],
  'plain-service': ['path'],
};

/** The call fields that each kind of pool needs. */
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
            reason: `no availability zone is called ${host.availabilityZone}`,
          },
        ]
      : [],
  );
}

function checkRanks(configuration: Configuration): DocumentIssue[] {
  const faults: DocumentIssue[] = [];
  const ranks = listEntries(configuration.ranks);
  const floorSum = ranks.reduce((sum, [, rank]) => sum + rank.floorShare, 0);
  if (ranks.length === 0) faults.push({ keys: ['ranks'], reason: 'needs at least one rank' });
  if (floorSum > 1) {
    faults.push({ keys: ['ranks'], reason: `floor shares add up to ${floorSum}, which is over 1` });
  }
  const seenOrders = new Map<number, string>();
  for (const [id, rank] of ranks) {
    const twin = seenOrders.get(rank.order);
    if (twin !== undefined) {
      faults.push({ keys: ['ranks', id, 'order'], reason: `rank ${twin} has the same order` });
    }
    seenOrders.set(rank.order, id);
  }
  return faults;
}

function checkWorkspaces(configuration: Configuration, known: KnownIds): DocumentIssue[] {
  const faults: DocumentIssue[] = [];
  const seenHashes = new Map<string, string>();
  for (const [id, workspace] of listEntries(configuration.workspaces)) {
    workspace.keyHashes.forEach((hash, index) => {
      const twin = seenHashes.get(hash);
      if (twin !== undefined) {
        faults.push({
          keys: ['workspaces', id, 'keyHashes', index],
          reason: `the same key belongs to ${twin}`,
        });
      }
      seenHashes.set(hash, id);
    });
    workspace.pipelines?.forEach((pipeline, index) => {
      if (known.has('pipelines', pipeline)) return;
      faults.push({
        keys: ['workspaces', id, 'pipelines', index],
        reason: `no pipeline is called ${pipeline}`,
      });
    });
  }
  return faults;
}

function checkPools(configuration: Configuration, known: KnownIds): DocumentIssue[] {
  const faults: DocumentIssue[] = [];
  for (const [poolId, pool] of listEntries(configuration.pools)) {
    for (const [serverId, server] of listEntries(pool.backendServers)) {
      const keys = ['pools', poolId, 'backendServers', serverId];
      if (!known.has('availabilityZones', server.availabilityZone)) {
        faults.push({
          keys: [...keys, 'availabilityZone'],
          reason: `no availability zone is called ${server.availabilityZone}`,
        });
      }
      server.models.forEach((model, index) => {
        if (known.has('models', model)) return;
        faults.push({ keys: [...keys, 'models', index], reason: `no model is called ${model}` });
      });
    }
  }
  return faults;
}

function checkModel(
  configuration: Configuration,
  known: KnownIds,
  stage: Stage,
  keys: readonly PropertyKey[],
): DocumentIssue[] {
  if (stage.model === undefined) return [];
  if (!known.has('models', stage.model)) {
    return [{ keys: [...keys, 'model'], reason: `no model is called ${stage.model}` }];
  }
  const model = configuration.models[stage.model];
  if (model === undefined) return [];
  if (stage.adapter === undefined || model.adapters.includes(stage.adapter)) return [];
  return [
    {
      keys: [...keys, 'adapter'],
      reason: `model ${stage.model} has no adapter called ${stage.adapter}`,
    },
  ];
}

/** A pointer into `/stages/x` must name a stage that has run by then. */
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
          ? `no earlier stage is called ${stageId}`
          : 'must begin with /request or /stages';
      return [{ keys: [...keys, 'input', field], reason }];
    });
  });
}

interface StagePlace {
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  readonly earlierStages: readonly StageId[];
}

function checkStage(
  configuration: Configuration,
  known: KnownIds,
  stage: Stage,
  place: StagePlace,
): DocumentIssue[] {
  const keys = ['pipelines', place.pipelineId, 'stages', place.stageId];
  const parsedStages = configuration.pipelines[place.pipelineId]?.stages ?? {};
  const isEarlierStage = (stageId: string) =>
    place.earlierStages.some((id) => id === stageId) ||
    (known.hasStage(place.pipelineId, stageId) && !Object.hasOwn(parsedStages, stageId));
  const faults = [
    ...checkModel(configuration, known, stage, keys),
    ...checkPointers(stage, isEarlierStage, keys),
  ];
  if (!known.has('pools', stage.pool)) {
    return [...faults, { keys: [...keys, 'pool'], reason: `no pool is called ${stage.pool}` }];
  }
  const kind = configuration.pools[stage.pool]?.kind;
  return kind === undefined ? faults : [...faults, ...checkStageKind(kind, stage, keys)];
}

function checkStageKind(
  kind: PoolKind,
  stage: Stage,
  keys: readonly PropertyKey[],
): DocumentIssue[] {
  const faults: DocumentIssue[] = [];
  for (const field of requiredStageFields[kind]) {
    if (stage[field] === undefined) {
      faults.push({ keys: [...keys, field], reason: `is required for a ${kind}` });
    }
  }
  for (const field of requiredInputFields[kind]) {
    if (stage.input[field] === undefined) {
      faults.push({ keys: [...keys, 'input', field], reason: `is required for a ${kind}` });
    }
  }
  if (!stage.isIdempotent && kind !== 'plain-service') {
    faults.push({
      keys: [...keys, 'isIdempotent'],
      reason: `may be false for plain services only, not for a ${kind}`,
    });
  }
  return faults;
}

function checkPipelines(configuration: Configuration, known: KnownIds): DocumentIssue[] {
  const faults: DocumentIssue[] = [];
  for (const [id, pipeline] of listEntries(configuration.pipelines)) {
    const ranks = [pipeline.rank, ...(pipeline.allowedRanks ?? [])];
    for (const rank of new Set(ranks)) {
      if (known.has('ranks', rank)) continue;
      const field = rank === pipeline.rank ? 'rank' : 'allowedRanks';
      faults.push({ keys: ['pipelines', id, field], reason: `no rank is called ${rank}` });
    }
    const stages = listEntries(pipeline.stages).sort(([, a], [, b]) => a.order - b.order);
    stages.forEach(([stageId, stage], index) => {
      const earlierStages = stages.slice(0, index).map(([earlierId]) => earlierId);
      const place = { pipelineId: id, stageId, earlierStages };
      faults.push(...checkStage(configuration, known, stage, place));
      if (index > 0 && stages[index - 1]?.[1].order === stage.order) {
        faults.push({
          keys: ['pipelines', id, 'stages', stageId, 'order'],
          reason: `stage ${stages[index - 1]?.[0] ?? ''} has the same order`,
        });
      }
    });
  }
  return faults;
}

/**
 * Checks what no single value shows: references, sums and uniqueness.
 *
 * @param configuration - a configuration of valid shape
 * @param known - the ids that the whole document uses
 * @returns every fault
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
