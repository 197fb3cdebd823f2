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
import type { PieceResult } from './pieces/PieceDispatcher.js';
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
  readonly clock: Clock;
  /** Where the engine stands that will most likely read the results. */
  readonly engineZone: AvailabilityZoneId | undefined;
  /** Where a replica stands. */
  readonly findZone: (serverId: BackendServerId) => AvailabilityZoneId | undefined;
}

/** A result with its approximate size, in bytes. @public */
export interface SizedResult extends PieceResult {
  readonly bytes: number;
}

/** The results that the engine reads. @public */
export interface StagesOutput {
  readonly results: readonly SizedResult[];
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
  const tails = estimateRemainingTimes(route, pieceCounts, pools, run.firstEventMs);
  const made = new Map<number, Promise<Result<readonly PieceResult[], Failure>>>();
  const readersLeft = route.stages.map((_, index) => countReaders(route, pieceCounts, index));
  const failed = new AbortController();
  const signal = AbortSignal.any([run.signal, failed.signal]);
  const isRead = (index: number) => countReaders(route, pieceCounts, index) > 0;
  const chainEnd = findChainEnd(route, pieceCounts);
  const chainEndStage = route.stages[chainEnd];

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
    const isFirst = stage.after.length === 0;
    const inputs: SizedResult[] = [];
    // A stage beside the longest chain starts with the chain's last stage, so that its results don't
    // take up room, or expire, while the chain is under way.
    const waitsFor = isFirst && index !== chainEnd ? (chainEndStage?.after ?? []) : stage.after;
    for (const earlier of isFirst && isRead(index) ? [] : waitsFor) {
      const result = await startStage(earlier);
      if (result.isErr()) return err(result.error);
      const bytes = route.stages[earlier]?.resultBytes ?? 0;
      if (!isFirst) inputs.push(...result.value.map((made) => ({ ...made, bytes })));
    }
    const inputsExpireAt = isFirst ? Infinity : run.clock.now() + findKeptMs(run, stage.after);
    let isFetched = false;
    const noteFetched = () => {
      if (isFetched) return;
      isFetched = true;
      for (const earlier of stage.after) noteRead(earlier);
    };
    const result = await client.run(
      stage.poolId,
      {
        requestId: run.requestId,
        stageIndex: index,
        pieceCount,
        rank: run.rank,
        key: isFirst ? run.pieceKey : undefined,
        inputs: isFirst ? undefined : inputs.map(({ handle }) => handle),
        homeZone: isFirst ? run.engineZone : findHomeZone(inputs, run.findZone),
        movedBytes: pieceCount * (isFirst ? stage.resultBytes : sumBytes(inputs)),
        inputsExpireAt,
        isEntry: isFirst && (isRead(index) || index === chainEnd),
        followers: listFollowers(route, pieceCounts, index),
        resultBytes: stage.resultBytes,
        endAt: run.endAt,
        targetEndAt: run.targetAt - (tails[index] ?? 0),
      },
      signal,
      noteFetched,
    );
    noteFetched();
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
  const last = route.stages.flatMap((_, index) => (isRead(index) ? [] : [index]));
  if (firstFailure !== undefined) {
    for (const index of last) freeStage(index);
    return err(firstFailure);
  }
  let isFreed = false;
  return ok({
    results: last.flatMap((index) =>
      (results[index] ?? []).map((result) => ({
        ...result,
        bytes: route.stages[index]?.resultBytes ?? 0,
      })),
    ),
    free() {
      if (isFreed) return;
      isFreed = true;
      for (const index of last) freeStage(index);
    },
  });
}

/** Finds the last stage of the longest chain of stages. */
function findChainEnd(route: Route, pieceCounts: readonly number[]): number {
  const depths: number[] = [];
  let end = 0;
  route.stages.forEach(({ after }, index) => {
    depths[index] = 1 + Math.max(0, ...after.map((earlier) => depths[earlier] ?? 0));
    const runs = (pieceCounts[index] ?? 0) > 0;
    if (runs && (depths[index] ?? 0) > (depths[end] ?? 0)) end = index;
  });
  return end;
}

/** The shortest time, in milliseconds, for which any of some stages' results are kept. */
function findKeptMs({ route, pools }: StagesRun, stages: readonly number[]): number {
  const times = stages.flatMap((index) => {
    const poolId = route.stages[index]?.poolId;
    const capacity = poolId === undefined ? undefined : pools.get(poolId)?.stage;
    return capacity === undefined ? [] : [capacity.resultTtlMs];
  });
  return Math.min(Infinity, ...times);
}

const sumBytes = (results: readonly SizedResult[]) =>
  results.reduce((sum, { bytes }) => sum + bytes, 0);

/** Finds the zone that holds most bytes. */
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

/** Lists the pools of all stages that run after another, near or far. */
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

/** Counts the stages that run and read the results of another. */
function countReaders(route: Route, pieceCounts: readonly number[], index: number): number {
  return route.stages.filter(
    (stage, reader) => (pieceCounts[reader] ?? 0) > 0 && stage.after.includes(index),
  ).length;
}
