import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  createRandom,
  hostIdSchema,
  pipelineIdSchema,
  poolIdSchema,
  requestIdSchema,
  type PoolId,
  type Random,
} from '@endiveferry/base';
import {
  createPieceDispatcher,
  createRelayMetrics,
  findWaitMs,
  runStages,
  type ListedServer,
  type PieceDispatcher,
  type RelayPool,
  type Route,
  type StageClient,
} from '@endiveferry/relay';
import { createLogger, createMetrics } from '@endiveferry/telemetry';

import {
  createReplica,
  freeResult,
  HOP_LATENCY_MS,
  waitFor,
  RESULT_TTL_MS,
  type PoolCounts,
  type Simulation,
} from './createReplica.js';
import type { RequestKind, StageLoad, StagePool } from './StageLoad.js';

/** Step of the simulated clock, in milliseconds. */
const STEP_MS = 1;
/** Interval between two reports of expected waits, in milliseconds. */
const REPORT_INTERVAL_MS = 250;
/** Maximum additional time of a replica for a call, as a share of the pool's time. */
const SLOWNESS_SPREAD = 0.15;

/** Outcomes of the requests of one kind. */
export interface KindResult {
  readonly name: string;
  sent: number;
  onTarget: number;
  late: number;
  failed: number;
  credit: number;
  /** Credit that all requests on target would give. */
  maxCredit: number;
  firstEventLatenciesMs: number[];
}

/** Outcomes of a replayed load. */
export interface LoadResult {
  readonly kinds: readonly KindResult[];
  /** Share of the highest possible credit over all kinds. */
  readonly credit: number;
  readonly calls: number;
  readonly pieces: number;
  /** Bytes that replicas fetched from another availability zone. */
  readonly remoteBytes: number;
  readonly byPool: Readonly<Record<string, PoolCounts>>;
}

function drawCount(random: Random, mean: number): number {
  // Uniform between 0.5 and 1.5 times the mean, and at least 1.
  return Math.max(1, Math.round(mean * (0.5 + random.nextFraction())));
}

function buildPool(
  pool: StagePool,
): RelayPool & { readonly stage: NonNullable<RelayPool['stage']> } {
  return {
    poolId: poolIdSchema.parse(pool.name),
    healthPath: '/',
    maxConnections: 100,
    stage: {
      slots: 1,
      batch: pool.batch,
      callMs: pool.callMs,
      pieceMs: pool.pieceMs,
      resultMemoryBytes: pool.resultMemoryBytes,
      resultTtlMs: RESULT_TTL_MS,
    },
  };
}

function createDispatcher(simulation: Simulation, pool: StagePool): PieceDispatcher {
  const { clock, random } = simulation;
  const poolId = poolIdSchema.parse(pool.name);
  const servers = pool.zones.map((zone, index) => {
    const server: ListedServer = {
      serverId: backendServerIdSchema.parse(`${pool.name}-${index}`),
      poolId,
      address: `10.0.0.${index}:80`,
      availabilityZone: availabilityZoneIdSchema.parse(zone),
      slots: 1,
      isLeaving: false,
    };
    const slowness = 1 + random.nextFraction() * SLOWNESS_SPREAD;
    return { server, run: createReplica(simulation, pool, server, slowness) };
  });
  const dispatcher = createPieceDispatcher({
    poolId,
    clock,
    logger: createLogger(hostIdSchema.parse('model'), 'error'),
    metrics: createRelayMetrics(createMetrics()),
    sendPieces: (server, pieces) => {
      const replica = servers.find((candidate) => candidate.server.serverId === server.serverId);
      if (replica === undefined) return Promise.resolve({ kind: 'gone' });
      return replica.run(pieces);
    },
    sendFree: (_server, handles) =>
      void clock.schedule(HOP_LATENCY_MS, () => {
        for (const handle of handles) freeResult(simulation, handle);
      }),
    onServerReplaced: () => undefined,
    tryWithdrawRetry: () => true,
    estimateWaitMs: (other, rank) => findWaitMs(simulation.waits.get(other) ?? [], rank),
  });
  dispatcher.update(
    buildPool(pool).stage,
    servers.map(({ server }) => server),
  );
  return dispatcher;
}

function buildRoute(kind: RequestKind): Route {
  return {
    pipelineId: pipelineIdSchema.parse(kind.name),
    host: 'model',
    prefix: '/',
    kind: 'streaming',
    timeoutMs: kind.deadlineMs,
    targetLatencyMs: kind.targetMs,
    rank: kind.rank,
    pools: [],
    maxAttempts: 1,
    stages: kind.stages.map(({ pool, after, resultBytes }) => ({
      poolId: poolIdSchema.parse(pool),
      after,
      resultBytes,
    })),
    isPublic: true,
    isResumable: false,
  };
}

/** Draws arrival times, in milliseconds; groups of requests arrive as a Poisson process. */
function drawArrivals({ random, load }: Simulation, kind: RequestKind): number[] {
  const arrivals: number[] = [];
  for (let at = 0; at < load.lengthMs;) {
    const factor = load.bursts
      .filter((burst) => burst.kind === undefined || burst.kind === kind.name)
      .filter(({ fromMs, toMs }) => fromMs <= at && at < toMs)
      .reduce((product, burst) => product * burst.factor, 1);
    const groupsPerMs = (kind.perSecond * factor) / load.meanGroupSize / 1_000;
    at += -Math.log(1 - random.nextFraction()) / groupsPerMs;
    const size = 1 + random.nextInteger(load.meanGroupSize * 2 - 1);
    for (let index = 0; index < size; index += 1) arrivals.push(at);
  }
  return arrivals;
}

/**
 * Replays a load on real dispatchers and stage execution, with simulated replicas and time.
 *
 * @param load - the load to replay
 * @param seed - seed of all random draws; equal seeds give equal results
 * @returns outcomes by kind of request, and counters of the replicas
 */
export async function replayStageLoad(load: StageLoad, seed: number): Promise<LoadResult> {
  const simulation: Simulation = {
    clock: createFakeClock(),
    random: createRandom(seed),
    load,
    results: new Map(),
    usedBytes: new Map(),
    waits: new Map(),
    counts: { calls: 0, pieces: 0, remoteBytes: 0 },
    byPool: {},
  };
  const { clock, random } = simulation;
  const dispatchers = new Map<PoolId, PieceDispatcher>(
    load.pools.map((pool) => [poolIdSchema.parse(pool.name), createDispatcher(simulation, pool)]),
  );
  const pools = new Map(load.pools.map((pool) => [poolIdSchema.parse(pool.name), buildPool(pool)]));
  const zones = new Map(
    load.pools.flatMap((pool) =>
      pool.zones.map((zone, index) => [
        backendServerIdSchema.parse(`${pool.name}-${index}`),
        availabilityZoneIdSchema.parse(zone),
      ]),
    ),
  );
  const client: StageClient = {
    async run(poolId, group, signal, onInputsFetched) {
      await waitFor(clock, HOP_LATENCY_MS);
      const dispatcher = dispatchers.get(poolId);
      if (dispatcher === undefined) throw new Error(`the load has no pool ${poolId}`);
      return dispatcher.run(group, signal, onInputsFetched);
    },
    free: (poolId, results) => dispatchers.get(poolId)?.free(results),
    handleRequest: () => undefined,
  };
  const kinds = load.kinds.map(({ name }): KindResult => ({
    name,
    sent: 0,
    onTarget: 0,
    late: 0,
    failed: 0,
    credit: 0,
    maxCredit: 0,
    firstEventLatenciesMs: [],
  }));

  async function runRequest(
    kind: RequestKind,
    result: KindResult,
    index: number,
    arrivedAt = clock.now(),
  ): Promise<void> {
    const isRetry = clock.now() > arrivedAt;
    if (!isRetry) {
      result.sent += 1;
      result.maxCredit += kind.worth;
    }
    const output = await runStages(
      {
        requestId: requestIdSchema.parse(`${kind.name}-${index}`),
        route: buildRoute(kind),
        rank: kind.rank,
        pieceCounts: kind.stages.map(({ pieces, share }) =>
          random.nextFraction() < share ? drawCount(random, pieces) : 0,
        ),
        pieceKey: 'key',
        pools,
        endAt: arrivedAt + kind.deadlineMs - kind.firstEventMs,
        targetAt: arrivedAt + kind.targetMs,
        firstEventMs: kind.firstEventMs,
        signal: new AbortController().signal,
        clock,
        engineZone: undefined,
        findZone: (serverId) => zones.get(serverId),
      },
      client,
    );
    if (output.isErr()) {
      const { retryAfterMs } = output.error;
      if (retryAfterMs === undefined || isRetry) {
        result.failed += 1;
        return;
      }
      // Callers retry once, after at most a third of the time left until the deadline.
      const leftMs = arrivedAt + kind.deadlineMs - clock.now();
      await waitFor(clock, Math.min(leftMs / 3, retryAfterMs * (1 + random.nextFraction())));
      await runRequest(kind, result, index, arrivedAt);
      return;
    }
    await waitFor(clock, kind.firstEventMs);
    output.value.free();
    const firstMs = clock.now() - arrivedAt;
    result.firstEventLatenciesMs.push(firstMs);
    const isOnTarget = firstMs <= kind.targetMs;
    if (isOnTarget) result.onTarget += 1;
    else result.late += 1;
    result.credit += isOnTarget ? kind.worth : kind.lateWorth;
  }

  load.kinds.forEach((kind, kindIndex) => {
    const result = kinds[kindIndex];
    if (result === undefined) return;
    drawArrivals(simulation, kind).forEach((at, index) => {
      clock.schedule(at, () => void runRequest(kind, result, index));
    });
  });
  const maxDeadlineMs = Math.max(...load.kinds.map(({ deadlineMs }) => deadlineMs));
  for (let at = 0; at < load.lengthMs + maxDeadlineMs; at += STEP_MS) {
    if (at % REPORT_INTERVAL_MS === 0) {
      for (const [poolId, dispatcher] of dispatchers) {
        simulation.waits.set(poolId, dispatcher.listWaits());
      }
    }
    await clock.advance(STEP_MS);
    // All pending promise callbacks must run before the clock advances again.
    await new Promise((resolve) => setImmediate(resolve));
  }
  const sum = (pick: (result: KindResult) => number) =>
    kinds.reduce((total, result) => total + pick(result), 0);
  return {
    kinds,
    credit: sum(({ credit }) => credit) / sum(({ maxCredit }) => maxCredit),
    ...simulation.counts,
    byPool: simulation.byPool,
  };
}
