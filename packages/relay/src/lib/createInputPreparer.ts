import { createRefusal, type Clock, type Failure, type PipelineId } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { AdmittedRequest } from './admitCall.js';
import { findPreferredEngine } from './chooseBackend.js';
import { countTokens } from './countTokens.js';
import { FIRST_TOKEN_MS, type Backends } from './createBackends.js';
import type { StageClient } from './createStageClient.js';
import type { RenewedInputs } from './ForwardRequest.js';
import type { EstimateWaitMs } from './pieces/RankWait.js';
import { runStages, type StagesOutput } from './runStages.js';

/** Time to the first event of an empty prompt, in milliseconds: an engine's first step, and two hops. */
const EMPTY_PROMPT_MS = 50;
/** Weight of the newest stream in the expected time to read a token. */
const TOKEN_WEIGHT = 0.1;
/** Prompts shorter than this, in tokens, tell little of the time to read one. */
const MEASURED_TOKENS = 400;

/**
 * Makes what a request's engine reads: the results of the stages before it.
 *
 * @internal
 */
export interface InputPreparer {
  /** Runs the stages; undefined for a request without any. */
  prepare(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): Promise<Result<StagesOutput | undefined, Failure>>;
  /** Names the results, with where they lie. */
  describe(output: StagesOutput | undefined): RenewedInputs;
  /** Notes how long a stream took from its inputs to its first event, in milliseconds. */
  noteFirstEvent(admitted: AdmittedRequest, durationMs: number): void;
}

/** Options of the preparer. @internal */
export interface InputPreparerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly backends: Backends;
  readonly stages: StageClient;
  /** Time until a stage of a pool would start, in milliseconds. */
  readonly estimateWaitMs: EstimateWaitMs;
}

/**
 * Creates the preparer.
 *
 * @param options - see {@link InputPreparerOptions}
 * @returns the preparer
 * @internal
 */
export function createInputPreparer(options: InputPreparerOptions): InputPreparer {
  const { clock, logger, backends } = options;
  const tokenTimes = new Map<PipelineId, number>();

  const findTokenMs = (pipelineId: PipelineId) => tokenTimes.get(pipelineId) ?? FIRST_TOKEN_MS;

  /** A prompt may be several times as long as others of its pipeline, and takes as much longer. */
  const estimateFirstEventMs = ({ route, metadata }: AdmittedRequest) =>
    EMPTY_PROMPT_MS + countTokens(metadata.promptParts) * findTokenMs(route.pipelineId);

  /** Refuses at once what cannot get its first event in time. */
  function checkDoor(admitted: AdmittedRequest): Failure | undefined {
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
    return createRefusal('overloaded', 'the stages cannot be done in time', waitMs / 2);
  }

  function runAll(
    admitted: AdmittedRequest,
    signal: AbortSignal,
  ): Promise<Result<StagesOutput, Failure>> {
    const { metadata, route, poolId, rank, inForce, arrivedAt, endAt } = admitted;
    const firstEventMs = estimateFirstEventMs(admitted);
    return runStages(
      {
        requestId: metadata.requestId,
        route,
        rank,
        pieceCounts: metadata.pieceCounts,
        pieceKey: metadata.pieceKey,
        pools: inForce.configuration.pools,
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

  return {
    async prepare(admitted, signal) {
      if (admitted.route.stages.length === 0) return ok(undefined);
      const refusal = checkDoor(admitted);
      if (refusal !== undefined) return err(refusal);
      const first = await runAll(admitted, signal);
      // A result died with the replica that made it, or was given up before its reader was done.
      const wasLost = first.isErr() && first.error.reason === 'input-lost';
      if (!wasLost || signal.aborted) return first;
      logger.info('the stages of a request run again', {
        requestId: admitted.metadata.requestId,
        detail: first.error.detail,
        remainingMs: Math.round(admitted.endAt - clock.now()),
      });
      return runAll(admitted, signal);
    },
    describe(output) {
      const inputBytes = (output?.results ?? []).flatMap(({ serverId, bytes }) => {
        const availabilityZone = backends.find(serverId)?.server.availabilityZone;
        return availabilityZone === undefined ? [] : [{ availabilityZone, bytes }];
      });
      return { inputs: output?.results.map(({ handle }) => handle), inputBytes };
    },
    noteFirstEvent({ route, metadata }, durationMs) {
      const tokens = countTokens(metadata.promptParts);
      if (tokens < MEASURED_TOKENS) return;
      const known = findTokenMs(route.pipelineId);
      const measured = Math.max(0, durationMs - EMPTY_PROMPT_MS) / tokens;
      tokenTimes.set(route.pipelineId, known + TOKEN_WEIGHT * (measured - known));
    },
  };
}
