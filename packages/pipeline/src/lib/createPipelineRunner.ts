import {
  createRefusal,
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

/** When a refused caller should try again, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/**
 * The whole answer to a request.
 *
 * @public
 */
export interface PipelineResult {
  /** The output of the last stage. */
  readonly output: unknown;
  /** Tokens generated. */
  readonly tokens: number;
}

/**
 * Takes requests through their pipelines.
 *
 * @public
 */
export interface PipelineRunner {
  /** Runs a request to its end; it never throws. */
  run(request: RequestContext): Promise<Result<PipelineResult, Failure>>;
}

/** One stage with what it needs and what it is expected to take. */
interface PlannedStage {
  readonly id: StageId;
  readonly stage: Stage;
  readonly pool: PoolRuntime;
  readonly budgetMs: number;
  readonly costMs: number;
}

/** The input is not known at the door; classes of work that depend on it use the stage alone. */
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
      return err(createRefusal('no-backend-server', `pool ${stage.pool} is gone`));
    }
    planned.push(planStage(id, stage, pool));
  }
  return ok(planned);
}

function sumBudgets(stages: readonly PlannedStage[]): number {
  return stages.reduce((sum, { budgetMs }) => sum + budgetMs, 0);
}

/** Refuses work that would miss its deadline anyway, before any of it costs. */
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
  // Without work in progress nothing would correct an estimate that is too high.
  const isIdle = stages.every(({ pool }) => pool.queue.running() + pool.queue.waiting() === 0);
  request.recordEvent('door', { neededMs, waitMs, remainingMs });
  if (neededMs <= remainingMs || (isIdle && remainingMs > 0)) return ok();
  const detail = `needs about ${Math.round(neededMs)} ms and has ${Math.round(remainingMs)} ms`;
  return err(createRefusal('deadline-unreachable', detail, RETRY_AFTER_MS));
}

function translateCancellation(caller: AbortSignal, failure: Failure): Failure {
  if (failure.reason !== 'cancelled' || caller.aborted) return failure;
  return { ...failure, reason: 'deadline-exceeded', detail: 'the deadline passed' };
}

/**
 * Creates the runner of pipelines.
 *
 * @param options - the pools, the clock, and where cost is accounted
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
    arrivals: readonly (() => void)[],
  ): Promise<Result<PipelineResult, Failure>> {
    const outputs: Record<StageId, unknown> = {};
    let execution: Execution = 'not-run';
    let output: unknown;
    let tokens = 0;
    for (const [index, { id, stage, pool }] of planned.entries()) {
      arrivals[index]?.();
      const input = resolveInput(stage, { request: request.body, stages: outputs });
      const latestStartAt = request.deadlineAt - sumBudgets(planned.slice(index));
      const result = await runStage(
        { request, stageId: id, stage, pool, input, latestStartAt },
        { metrics, logger },
      );
      if (result.isErr()) {
        const whole = mergeExecution(execution, result.error.execution);
        return err({ ...result.error, execution: whole });
      }
      // A stage that may be repeated is not the whole request; one that may not be, is its point.
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
      const arrivals = planned.value.map(({ pool, costMs }) =>
        pool.queue.registerExpectedCall(request.rankId, request.workspaceId, costMs),
      );
      try {
        const result = await runStages(request, planned.value, arrivals);
        return result.mapErr((failure) => translateCancellation(callerRequest.signal, failure));
      } finally {
        cancelTimer();
        for (const withdraw of arrivals) withdraw();
      }
    },
  };
}
