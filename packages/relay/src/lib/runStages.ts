import { NO_LONGER_NEEDED, type Failure, type PoolId, type RequestId } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { StageClient } from './createStageClient.js';
import { estimateTails } from './estimateStages.js';
import type { PieceResult } from './pieces/createPieceDispatcher.js';
import type { RelayPool, Route } from './RelayConfiguration.js';

/** A request whose stages are to run. @public */
export interface StagesRun {
  readonly requestId: RequestId;
  readonly route: Route;
  readonly rank: number;
  readonly pieceCounts: readonly number[];
  readonly pieceKey: string | undefined;
  readonly pools: ReadonlyMap<PoolId, RelayPool>;
  /** Monotonic time at which nobody waits any more, in milliseconds. */
  readonly endAt: number;
  /** Monotonic time at which the first event is due, in milliseconds. */
  readonly targetAt: number;
  /** Expected time from the last stage to the first event, in milliseconds. */
  readonly firstEventMs: number;
  readonly signal: AbortSignal;
}

/** The results that the engine reads. @public */
export interface StagesOutput {
  readonly results: readonly PieceResult[];
  /** Gives the results up; further calls do nothing. */
  free(): void;
}

/**
 * Runs the stages of a request, each as soon as those before it are done. Results are given up as
 * soon as the last stage that reads them is done, because their room bounds what replicas can do.
 *
 * @param run - the request
 * @param client - runs single stages
 * @returns the results of stages that no other stage reads; on failure everything is given up
 * @public
 */
export async function runStages(
  run: StagesRun,
  client: StageClient,
): Promise<Result<StagesOutput, Failure>> {
  const { route, pieceCounts, pools } = run;
  const tails = estimateTails(route, pieceCounts, pools, run.firstEventMs);
  const made = new Map<number, Promise<Result<readonly PieceResult[], Failure>>>();
  const readersLeft = route.stages.map((_, index) => countReaders(route, pieceCounts, index));
  const failed = new AbortController();
  const signal = AbortSignal.any([run.signal, failed.signal]);

  function freeStage(index: number): void {
    const poolId = route.stages[index]?.poolId;
    if (poolId === undefined) return;
    void made.get(index)?.then((result) => {
      if (result.isOk()) client.free(poolId, result.value);
    });
  }

  function noteRead(index: number): void {
    readersLeft[index] = (readersLeft[index] ?? 0) - 1;
    if (readersLeft[index] === 0) freeStage(index);
  }

  async function runStage(index: number): Promise<Result<readonly PieceResult[], Failure>> {
    const stage = route.stages[index];
    const pieceCount = pieceCounts[index] ?? 0;
    if (stage === undefined || pieceCount === 0) return ok([]);
    const inputs: string[] = [];
    for (const earlier of stage.after) {
      const result = await startStage(earlier);
      if (result.isErr()) return err(result.error);
      inputs.push(...result.value.map(({ handle }) => handle));
    }
    const isFirst = stage.after.length === 0;
    const result = await client.run(
      stage.poolId,
      {
        requestId: run.requestId,
        stageIndex: index,
        pieceCount,
        rank: run.rank,
        key: isFirst ? run.pieceKey : undefined,
        inputs: isFirst ? undefined : inputs,
        resultBytes: stage.resultBytes,
        endAt: run.endAt,
        targetEndAt: run.targetAt - (tails[index] ?? 0),
      },
      signal,
    );
    for (const earlier of stage.after) noteRead(earlier);
    return result;
  }

  function startStage(index: number): Promise<Result<readonly PieceResult[], Failure>> {
    const started = made.get(index) ?? runStage(index);
    made.set(index, started);
    return started;
  }

  const all = route.stages.map((_, index) => startStage(index));
  // The first failure ends the other stages at once.
  let firstFailure: Failure | undefined;
  const results = await Promise.all(
    all.map(async (pending) => {
      const result = await pending;
      if (result.isOk()) return result.value;
      firstFailure ??= result.error;
      failed.abort(NO_LONGER_NEEDED);
      return [];
    }),
  );
  const last = route.stages.flatMap((_, index) =>
    countReaders(route, pieceCounts, index) === 0 ? [index] : [],
  );
  if (firstFailure !== undefined) {
    for (const index of last) freeStage(index);
    return err(firstFailure);
  }
  let isFreed = false;
  return ok({
    results: last.flatMap((index) => results[index] ?? []),
    free() {
      if (isFreed) return;
      isFreed = true;
      for (const index of last) freeStage(index);
    },
  });
}

/** Counts the stages that run and read the results of another. */
function countReaders(route: Route, pieceCounts: readonly number[], index: number): number {
  return route.stages.filter(
    (stage, reader) => (pieceCounts[reader] ?? 0) > 0 && stage.after.includes(index),
  ).length;
}
