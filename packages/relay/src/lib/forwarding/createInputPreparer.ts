import {
  createNotRunFailure,
  NO_LONGER_NEEDED,
  type Clock,
  type Failure,
  type PipelineId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { AdmittedRequest } from './admitRequest.js';
import { findPreferredEngine } from '../servers/chooseBackend.js';
import { countTokens } from '../servers/countTokens.js';
import type { Backends } from '../servers/createBackends.js';
import { INITIAL_TOKEN_MS } from '../servers/createTokenTime.js';
import type { StageClient } from '../stages/createStageClient.js';
import type { StopDeadline } from '../createStopDeadline.js';
import type { EngineInputs } from './ForwardRequest.js';
import type { EstimateWaitMs } from '../RankWait.js';
import { rejectOversized } from '../stages/rejectOversized.js';
import { runStages, type StagesOutput } from '../stages/runStages.js';

/** Time to the first event of an empty prompt, in milliseconds: one engine step and two hops. */
const EMPTY_PROMPT_MS = 50;
/** Weight of the latest stream in the moving average of the time to read a token. */
const TOKEN_MS_WEIGHT = 0.1;
/**
 * Minimum prompt length, in tokens, to measure reading times; shorter ones say little about them.
 */
const MIN_MEASURED_TOKENS = 400;

/**
 * Prepares the inputs of a request's engine by running the stages before it.
 *
 * @internal
 */
export interface InputPreparer {
  /** Returns why the stages of a request would not be run; undefined when they would. */
  check(admitted: AdmittedRequest): Failure | undefined;
  /** Runs the stages of a request; the output is undefined for a request without stages. */
  prepare(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): Promise<Result<StagesOutput | undefined, Failure>>;
  /** Returns the handles of the results, and their sizes by availability zone. */
  describe(output: StagesOutput | undefined): EngineInputs;
  /** Records the time of a stream from its inputs to its first event, in milliseconds. */
  recordFirstEvent(admitted: AdmittedRequest, durationMs: number): void;
}

/** Options of an input preparer. @internal */
export interface InputPreparerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly backends: Backends;
  readonly stages: StageClient;
  readonly stopDeadline: StopDeadline;
  /** Estimates the waiting time at the pool of a stage, in milliseconds. */
  readonly estimateWaitMs: EstimateWaitMs;
}

/**
 * Creates an input preparer.
 *
 * @param options - see {@link InputPreparerOptions}
 * @returns the input preparer
 * @internal
 */
export function createInputPreparer(options: InputPreparerOptions): InputPreparer {
  const { clock, logger, backends } = options;
  const tokenMsByPipeline = new Map<PipelineId, number>();

  const findTokenMs = (pipelineId: PipelineId) =>
    tokenMsByPipeline.get(pipelineId) ?? INITIAL_TOKEN_MS;

  /** Scales with the prompt, because prompts of a pipeline differ in length by several times. */
  const estimateFirstEventMs = ({ route, metadata }: AdmittedRequest) =>
    EMPTY_PROMPT_MS + countTokens(metadata.promptParts) * findTokenMs(route.pipelineId);

  /** Rejects a request with a stage that its pool cannot complete. */
  function checkStageSizes({
    route,
    metadata,
    active,
    endAt,
  }: AdmittedRequest): Failure | undefined {
    for (const [index, { poolId, resultBytes }] of route.stages.entries()) {
      const capacity = active.configuration.pools.get(poolId)?.stage;
      const pieceCount = metadata.pieceCounts[index] ?? 0;
      if (pieceCount === 0) continue;
      const replicaCount = backends.listPool(poolId).length;
      const pool = { capacity, replicaCount, now: clock.now() };
      const failure = rejectOversized({ pieceCount, resultBytes, endAt }, pool);
      if (failure !== undefined) return failure;
    }
    return undefined;
  }

  /** Rejects a request whose first event cannot arrive before its deadline. */
  function checkAdmission(admitted: AdmittedRequest): Failure | undefined {
    const { route, metadata, rank, endAt } = admitted;
    const pools = new Set(
      route.stages.flatMap(({ poolId }, index) =>
        (metadata.pieceCounts[index] ?? 0) > 0 ? [poolId] : [],
      ),
    );
    const waitMs = [...pools].reduce(
      (sum, poolId) => sum + options.estimateWaitMs(poolId, rank),
      0,
    );
    if (clock.now() + waitMs + estimateFirstEventMs(admitted) < endAt) return undefined;
    return createNotRunFailure(
      'overloaded',
      'the stages cannot end before the deadline',
      waitMs / 2,
    );
  }

  function runAllStages(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): Promise<Result<StagesOutput, Failure>> {
    const { metadata, route, poolId, rank, active, arrivedAt, endAt } = admitted;
    const firstEventMs = estimateFirstEventMs(admitted);
    return runStages(
      {
        requestId: metadata.requestId,
        route,
        rank,
        pieceCounts: metadata.pieceCounts,
        pieceKey: metadata.pieceKey,
        pools: active.configuration.pools,
        endAt: endAt - firstEventMs,
        targetAt: arrivedAt + route.targetLatencyMs,
        firstEventMs,
        signal,
        clock,
        engineZone: findPreferredEngine(metadata.promptParts, backends.listPool(poolId))?.server
          .availabilityZone,
        findZone: (serverId) => backends.find(serverId)?.server.availabilityZone,
      },
      options.stages,
    );
  }

  /** Runs stages until the caller leaves or a stop of this host ends. */
  async function runUntilStop(
    signal: AbortSignal,
    run: (signal: AbortSignal) => Promise<Result<StagesOutput, Failure>>,
  ): Promise<Result<StagesOutput, Failure>> {
    const controller = new AbortController();
    const abort = () => controller.abort(NO_LONGER_NEEDED);
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, { once: true });
    const endWatch = options.stopDeadline.watch(abort);
    try {
      return await run(controller.signal);
    } finally {
      signal.removeEventListener('abort', abort);
      endWatch();
    }
  }

  /** Runs the stages of a request, and once more if a result was lost. */
  async function runStagesWithRerun(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): Promise<Result<StagesOutput, Failure>> {
    const first = await runAllStages(admitted, signal);
    // A result was lost with the replica that made it, or freed before its reader was done.
    const wasLost = first.isErr() && first.error.reason === 'input-lost';
    if (!wasLost || signal.aborted) return first;
    logger.info('stage result lost; rerunning the stages of the request', {
      requestId: admitted.metadata.requestId,
      detail: first.error.detail,
      remainingMs: Math.round(admitted.endAt - clock.now()),
    });
    return runAllStages(admitted, signal);
  }

  const check = (admitted: AdmittedRequest) =>
    admitted.route.stages.length === 0
      ? undefined
      : (checkStageSizes(admitted) ?? checkAdmission(admitted));

  return {
    check,
    async prepare(admitted, signal) {
      if (admitted.route.stages.length === 0) return ok(undefined);
      const rejection = check(admitted);
      if (rejection !== undefined) return err(rejection);
      return runUntilStop(signal, (ended) => runStagesWithRerun(admitted, ended));
    },
    describe(output) {
      const inputBytes = (output?.results ?? []).flatMap(({ serverId, bytes }) => {
        const availabilityZone = backends.find(serverId)?.server.availabilityZone;
        return availabilityZone === undefined ? [] : [{ availabilityZone, bytes }];
      });
      return { inputs: output?.results.map(({ handle }) => handle), inputBytes };
    },
    recordFirstEvent({ route, metadata }, durationMs) {
      const tokens = countTokens(metadata.promptParts);
      if (tokens < MIN_MEASURED_TOKENS) return;
      const known = findTokenMs(route.pipelineId);
      const measured = Math.max(0, durationMs - EMPTY_PROMPT_MS) / tokens;
      tokenMsByPipeline.set(route.pipelineId, known + TOKEN_MS_WEIGHT * (measured - known));
    },
  };
}
