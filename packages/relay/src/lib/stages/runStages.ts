import {
  NO_LONGER_NEEDED,
  type AvailabilityZoneId,
  type BackendServerId,
  type Clock,
  type Failure,
  type PoolId,
  type RequestId,
} from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { StageClient } from './createStageClient.js';
import { estimateRemainingTimes } from './estimateRemainingTimes.js';
import type { PieceResult } from './PieceDispatcher.js';
import type { RelayPool, Route } from '../RelayConfiguration.js';

/** A request whose stages are run. @public */
export interface StagesRun {
  readonly requestId: RequestId;
  readonly route: Route;
  readonly rank: number;
  /** Number of pieces of each stage; stages with 0 pieces are skipped. */
  readonly pieceCounts: readonly number[];
  /** Key of the work item; for the pieces of stages that read no results of other stages. */
  readonly pieceKey: string | undefined;
  readonly pools: ReadonlyMap<PoolId, RelayPool>;
  /** Monotonic time by which all stages must have ended, in milliseconds. */
  readonly endAt: number;
  /** Monotonic time at which the first event is due, in milliseconds. */
  readonly targetAt: number;
  /** Expected time from the last stage to the first event, in milliseconds. */
  readonly firstEventMs: number;
  readonly signal: AbortSignal;
  readonly clock: Clock;
  /** Availability zone of the engine that will most likely read the results. */
  readonly engineZone: AvailabilityZoneId | undefined;
  /** Finds the availability zone of a replica. */
  readonly findZone: (serverId: BackendServerId) => AvailabilityZoneId | undefined;
}

/** A result with its approximate size, in bytes. @public */
export interface SizedResult extends PieceResult {
  readonly bytes: number;
}

/** The results that the engine reads. @public */
export interface StagesOutput {
  readonly results: readonly SizedResult[];
  /** Frees the results; further calls do nothing. */
  free(): void;
}

/**
 * Runs the stages of a request, each as soon as the stages that it depends on have ended. The
 * results of a stage are freed once all stages that read them have fetched them, because result
 * memory limits the throughput of replicas.
 *
 * @param run - see {@link StagesRun}
 * @param client - runs single stages
 * @returns the results of the stages that no other stage reads; on failure all results are freed
 * @public
 */
export async function runStages(
  run: StagesRun,
  client: StageClient,
): Promise<Result<StagesOutput, Failure>> {
  const { route, pieceCounts, pools } = run;
  const remainingTimes = estimateRemainingTimes(route, pieceCounts, pools, run.firstEventMs);
  const stageResults = new Map<number, Promise<Result<readonly PieceResult[], Failure>>>();
  const pendingReaders = route.stages.map((_, index) => countReaders(route, pieceCounts, index));
  const failed = new AbortController();
  const signal = AbortSignal.any([run.signal, failed.signal]);
  const isRead = (index: number) => countReaders(route, pieceCounts, index) > 0;
  const chainEnd = findLongestChainEnd(route, pieceCounts);
  const chainEndStage = route.stages[chainEnd];

  function freeStage(index: number): void {
    const poolId = route.stages[index]?.poolId;
    if (poolId === undefined) return;
    void stageResults.get(index)?.then((result) => {
      if (result.isOk()) client.free(poolId, result.value);
    });
  }

  function recordRead(index: number): void {
    pendingReaders[index] = (pendingReaders[index] ?? 0) - 1;
    if (pendingReaders[index] === 0) freeStage(index);
  }

  async function runStage(index: number): Promise<Result<readonly PieceResult[], Failure>> {
    const stage = route.stages[index];
    const pieceCount = pieceCounts[index] ?? 0;
    if (stage === undefined || pieceCount === 0) return ok([]);
    const isSource = stage.after.length === 0;
    const inputs: SizedResult[] = [];
    // A source stage outside the longest chain that no other stage reads starts together with the
    // last stage of that chain, so that its results neither occupy memory nor expire while the
    // chain is running.
    const dependencies =
      isSource && index !== chainEnd ? (chainEndStage?.after ?? []) : stage.after;
    for (const inputStage of isSource && isRead(index) ? [] : dependencies) {
      const result = await startStage(inputStage);
      if (result.isErr()) return err(result.error);
      const bytes = route.stages[inputStage]?.resultBytes ?? 0;
      if (!isSource) inputs.push(...result.value.map((pieceResult) => ({ ...pieceResult, bytes })));
    }
    const inputsExpireAt = isSource
      ? Infinity
      : run.clock.now() + findMinResultTtlMs(run, stage.after);
    let hasFetchedInputs = false;
    const recordInputsFetched = () => {
      if (hasFetchedInputs) return;
      hasFetchedInputs = true;
      for (const inputStage of stage.after) recordRead(inputStage);
    };
    const result = await client.run(
      stage.poolId,
      {
        requestId: run.requestId,
        stageIndex: index,
        pieceCount,
        rank: run.rank,
        key: isSource ? run.pieceKey : undefined,
        inputs: isSource ? undefined : inputs.map(({ handle }) => handle),
        homeZone: isSource ? run.engineZone : findHomeZone(inputs, run.findZone),
        movedBytes: pieceCount * (isSource ? stage.resultBytes : sumBytes(inputs)),
        inputsExpireAt,
        isEntry: isSource && (isRead(index) || index === chainEnd),
        followers: listFollowers(route, pieceCounts, index),
        resultBytes: stage.resultBytes,
        endAt: run.endAt,
        targetEndAt: run.targetAt - (remainingTimes[index] ?? 0),
      },
      signal,
      recordInputsFetched,
    );
    recordInputsFetched();
    return result;
  }

  function startStage(index: number): Promise<Result<readonly PieceResult[], Failure>> {
    const pending = stageResults.get(index) ?? runStage(index);
    stageResults.set(index, pending);
    return pending;
  }

  const stageRuns = route.stages.map((_, index) => startStage(index));
  // The first failure cancels the other stages.
  let firstFailure: Failure | undefined;
  const results = await Promise.all(
    stageRuns.map(async (pending) => {
      const result = await pending;
      if (result.isOk()) return result.value;
      firstFailure ??= result.error;
      failed.abort(NO_LONGER_NEEDED);
      return [];
    }),
  );
  const outputStages = route.stages.flatMap((_, index) => (isRead(index) ? [] : [index]));
  if (firstFailure !== undefined) {
    for (const index of outputStages) freeStage(index);
    return err(firstFailure);
  }
  let isFreed = false;
  return ok({
    results: outputStages.flatMap((index) =>
      (results[index] ?? []).map((result) => ({
        ...result,
        bytes: route.stages[index]?.resultBytes ?? 0,
      })),
    ),
    free() {
      if (isFreed) return;
      isFreed = true;
      for (const index of outputStages) freeStage(index);
    },
  });
}

/** Finds the last stage of the longest chain of stages. */
function findLongestChainEnd(route: Route, pieceCounts: readonly number[]): number {
  const depths: number[] = [];
  let end = 0;
  route.stages.forEach(({ after }, index) => {
    depths[index] = 1 + Math.max(0, ...after.map((inputStage) => depths[inputStage] ?? 0));
    const runs = (pieceCounts[index] ?? 0) > 0;
    if (runs && (depths[index] ?? 0) > (depths[end] ?? 0)) end = index;
  });
  return end;
}

/** Finds the shortest time for which the results of the given stages are kept, in milliseconds. */
function findMinResultTtlMs({ route, pools }: StagesRun, stages: readonly number[]): number {
  const ttls = stages.flatMap((index) => {
    const poolId = route.stages[index]?.poolId;
    const capacity = poolId === undefined ? undefined : pools.get(poolId)?.stage;
    return capacity === undefined ? [] : [capacity.resultTtlMs];
  });
  return Math.min(Infinity, ...ttls);
}

const sumBytes = (results: readonly SizedResult[]) =>
  results.reduce((sum, { bytes }) => sum + bytes, 0);

/** Finds the availability zone that holds most bytes of the inputs. */
function findHomeZone(
  inputs: readonly SizedResult[],
  findZone: StagesRun['findZone'],
): AvailabilityZoneId | undefined {
  const bytesByZone = new Map<AvailabilityZoneId, number>();
  for (const { serverId, bytes } of inputs) {
    const zone = findZone(serverId);
    if (zone !== undefined) bytesByZone.set(zone, (bytesByZone.get(zone) ?? 0) + bytes);
  }
  const [largest] = [...bytesByZone].sort((a, b) => b[1] - a[1]);
  return largest?.[0];
}

/** Lists the pools of all stages that depend on a stage, directly or indirectly. */
function listFollowers(
  route: Route,
  pieceCounts: readonly number[],
  index: number,
): readonly PoolId[] {
  const followers = new Set<PoolId>();
  route.stages.forEach((stage, reader) => {
    if ((pieceCounts[reader] ?? 0) === 0 || !stage.after.includes(index)) return;
    followers.add(stage.poolId);
    for (const poolId of listFollowers(route, pieceCounts, reader)) followers.add(poolId);
  });
  return [...followers];
}

/** Counts the non-skipped stages that read the results of a stage. */
function countReaders(route: Route, pieceCounts: readonly number[], index: number): number {
  return route.stages.filter(
    (stage, reader) => (pieceCounts[reader] ?? 0) > 0 && stage.after.includes(index),
  ).length;
}
