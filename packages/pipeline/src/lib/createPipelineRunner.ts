import {
  createNotRunFailure,
  listEntries,
  mergeExecution,
  type Clock,
  type Execution,
  type Failure,
  type StageId,
} from '@endiveferry/base';
import type { Stage } from '@endiveferry/settings';
import type { Logger, Metrics } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { PoolRuntime, PoolSet } from './createPoolSet.js';
import { resolveInput } from './resolveInput.js';
import { runStage } from './runStage.js';
import { stageHandlers } from './stageHandlers.js';
import type { RequestContext } from './StageHandler.js';

/** Retry delay reported to a caller whose request is rejected. */
const RETRY_AFTER_MS = 1_000;

/**
 * Result of a request that ran all stages of its pipeline.
 *
 * @public
 */
export interface PipelineResult {
  /** Output of the last stage. */
  readonly output: unknown;
  /** Number of tokens generated, over all stages. */
  readonly tokens: number;
}

/**
 * Runs requests through their pipelines.
 *
 * @public
 */
export interface PipelineRunner {
  /** Runs all stages of a request; failures are returned, never thrown. */
  run(request: RequestContext): Promise<Result<PipelineResult, Failure>>;
}

/** A stage with its pool and its estimated service time. */
interface PlannedStage {
  readonly id: StageId;
  readonly stage: Stage;
  readonly pool: PoolRuntime;
  readonly budgetMs: number;
  readonly costMs: number;
}

/** Estimates a stage from its settings alone, because its input is unknown at admission. */
function planStage(id: StageId, stage: Stage, pool: PoolRuntime): PlannedStage {
  const workClass = stageHandlers[pool.settings().kind].getWorkClass(stage, {});
  const { budgetMs, meanMs } = pool.estimator.estimate(workClass, stage.expectedServiceMs);
  return { id, stage, pool, budgetMs, costMs: meanMs };
}

function planStages(
  request: RequestContext,
  pools: PoolSet,
): Result<readonly PlannedStage[], Failure> {
  const stages = listEntries(request.pipeline.stages).sort(([, a], [, b]) => a.order - b.order);
  const planned: PlannedStage[] = [];
  for (const [id, stage] of stages) {
    const pool = pools.findPool(stage.pool);
    if (pool === undefined) {
      return err(
        createNotRunFailure('no-backend-server', `pool ${stage.pool} is no longer configured`),
      );
    }
    planned.push(planStage(id, stage, pool));
  }
  return ok(planned);
}

function sumBudgets(stages: readonly PlannedStage[]): number {
  return stages.reduce((sum, { budgetMs }) => sum + budgetMs, 0);
}

/** Rejects a request that would miss its deadline before any backend server spends time on it. */
function checkDeadline(
  request: RequestContext,
  stages: readonly PlannedStage[],
  now: number,
): Result<void, Failure> {
  const waitMs = stages.reduce(
    (sum, { pool }) => sum + pool.queue.estimateWait(request.rankId, request.workspaceId),
    0,
  );
  const neededMs = waitMs + sumBudgets(stages);
  const remainingMs = request.deadlineAt - now;
  // An estimate that is too high is corrected only by running work, so idle pools admit anyway.
  const isIdle = stages.every(({ pool }) => pool.queue.running() + pool.queue.waiting() === 0);
  request.recordEvent('door', { neededMs, waitMs, remainingMs });
  if (neededMs <= remainingMs || (isIdle && remainingMs > 0)) return ok();
  const detail = `needs about ${Math.round(neededMs)} ms, ${Math.round(remainingMs)} ms remain`;
  return err(createNotRunFailure('deadline-unreachable', detail, RETRY_AFTER_MS));
}

/** Replaces the reason of a cancellation that comes from the deadline and not from the caller. */
function classifyCancellation(caller: AbortSignal, failure: Failure): Failure {
  if (failure.reason !== 'cancelled' || caller.aborted) return failure;
  return { ...failure, reason: 'deadline-exceeded', detail: 'the deadline was exceeded' };
}

/**
 * Creates a pipeline runner.
 *
 * @param options - the pools, the clock, the metrics that record cost, and the logger
 * @returns the runner
 * @public
 */
export function createPipelineRunner(options: {
  readonly pools: PoolSet;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}): PipelineRunner {
  const { pools, clock, metrics, logger } = options;

  async function runStages(
    request: RequestContext,
    planned: readonly PlannedStage[],
    unregisterExpectedCalls: readonly (() => void)[],
  ): Promise<Result<PipelineResult, Failure>> {
    const outputs: Record<StageId, unknown> = {};
    let execution: Execution = 'not-run';
    let output: unknown;
    let tokens = 0;
    for (const [index, { id, stage, pool }] of planned.entries()) {
      unregisterExpectedCalls[index]?.();
      const input = resolveInput(stage, { request: request.body, stages: outputs });
      const latestStartAt = request.deadlineAt - sumBudgets(planned.slice(index));
      const result = await runStage(
        { request, stageId: id, stage, pool, input, latestStartAt },
        { metrics, logger },
      );
      if (result.isErr()) {
        const requestExecution = mergeExecution(execution, result.error.execution);
        return err({ ...result.error, execution: requestExecution });
      }
      // An idempotent stage is only part of the request, so it counts as may-have-run; a
      // non-idempotent one is the request's purpose, so its completion counts as ran.
      execution = mergeExecution(execution, stage.isIdempotent ? 'may-have-run' : 'ran');
      output = result.value.output;
      outputs[id] = output;
      tokens += result.value.tokens;
      request.onProgress?.({ type: 'stage', stageId: id });
    }
    return ok({ output, tokens });
  }

  return {
    async run(callerRequest) {
      const planned = planStages(callerRequest, pools);
      if (planned.isErr()) return err(planned.error);
      const allowed = checkDeadline(callerRequest, planned.value, clock.now());
      if (allowed.isErr()) return err(allowed.error);
      const deadline = new AbortController();
      const cancelTimer = clock.schedule(callerRequest.deadlineAt - clock.now(), () =>
        deadline.abort(),
      );
      const request = {
        ...callerRequest,
        signal: AbortSignal.any([callerRequest.signal, deadline.signal]),
      };
      const unregisterExpectedCalls = planned.value.map(({ pool, costMs }) =>
        pool.queue.registerExpectedCall(request.rankId, request.workspaceId, costMs),
      );
      try {
        const result = await runStages(request, planned.value, unregisterExpectedCalls);
        return result.mapErr((failure) => classifyCancellation(callerRequest.signal, failure));
      } finally {
        cancelTimer();
        for (const unregister of unregisterExpectedCalls) unregister();
      }
    },
  };
}
