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
  findWaitMs,
  runStages,
  type ListedServer,
  type PieceDispatcher,
  type RelayPool,
  type Route,
  type StageClient,
} from '@endiveferry/relay';
import { createLogger } from '@endiveferry/telemetry';

import {
  createReplica,
  freeResult,
  HOP_MS,
  later,
  RESULT_TTL_MS,
  type PoolCounts,
  type World,
} from './createReplica.js';
import type { RequestKind, StageLoad, StagePool } from './StageLoad.js';

/** Steps in which the replay's time moves, in milliseconds. */
const STEP_MS = 1;
/** How old waiting times grow before hosts tell new ones, in milliseconds. */
const REPORT_INTERVAL_MS = 250;
/** Spread of the speeds of replicas: each is up to this much slower. */
const SLOWNESS_SPREAD = 0.15;

/** How the requests of one kind fared. */
export interface KindResult {
  readonly name: string;
  asked: number;
  onTarget: number;
  late: number;
  failed: number;
  /** Credit earned of the credit that all on target would earn. */
  credit: number;
  owed: number;
  firstMs: number[];
}

/** How a load fared. */
export interface LoadResult {
  readonly kinds: readonly KindResult[];
  readonly credit: number;
  readonly calls: number;
  readonly pieces: number;
  /** Bytes that replicas fetched from another availability zone. */
  readonly remoteBytes: number;
  /** Calls, results and busy time by pool; pieces without a result, by reason. */
  readonly byPool: Readonly<Record<string, PoolCounts>>;
}

function drawCount(random: Random, mean: number): number {
  // Between none less than half the mean and twice the mean.
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
      resultMemoryBytes: pool.roomBytes,
      resultTtlMs: RESULT_TTL_MS,
    },
  };
}

function createDispatcher(world: World, pool: StagePool): PieceDispatcher {
  const { clock, random } = world;
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
    return { server, run: createReplica(world, pool, server, slowness) };
  });
  const dispatcher = createPieceDispatcher({
    poolId,
    clock,
    logger: createLogger(hostIdSchema.parse('model'), 'error'),
    sendPieces: (server, pieces) => {
      const replica = servers.find((candidate) => candidate.server.serverId === server.serverId);
      if (replica === undefined) return Promise.resolve({ kind: 'gone' });
      return replica.run(pieces);
    },
    sendFree: (_server, handles) => {
      clock.schedule(HOP_MS, () => {
        for (const handle of handles) freeResult(world, handle);
      });
    },
    onServerReplaced: () => undefined,
    mayRetry: () => true,
    estimateWaitMs: (other, rank) => findWaitMs(world.waits.get(other) ?? [], rank),
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

/** Draws the arrivals of one kind, in milliseconds. */
function drawArrivals({ random, load }: World, kind: RequestKind): number[] {
  const arrivals: number[] = [];
  for (let at = 0; at < load.lengthMs;) {
    const factor = load.bursts
      .filter((burst) => burst.kind === undefined || burst.kind === kind.name)
      .filter(({ fromMs, toMs }) => fromMs <= at && at < toMs)
      .reduce((product, burst) => product * burst.factor, 1);
    const clumpsPerMs = (kind.perSecond * factor) / load.clump / 1_000;
    at += -Math.log(1 - random.nextFraction()) / clumpsPerMs;
    const size = 1 + random.nextInteger(load.clump * 2 - 1);
    for (let index = 0; index < size; index += 1) arrivals.push(at);
  }
  return arrivals;
}

/**
 * Replays a load against the decisions on pieces of stages, in simulated time: the real dispatchers
 * and the real way through the stages before replicas that take time and room.
 *
 * @param load - the load
 * @param seed - equal seeds give equal replays
 * @returns how the requests fared
 */
export async function replayStageLoad(load: StageLoad, seed: number): Promise<LoadResult> {
  const world: World = {
    clock: createFakeClock(),
    random: createRandom(seed),
    load,
    results: new Map(),
    roomUsed: new Map(),
    waits: new Map(),
    counts: { calls: 0, pieces: 0, remoteBytes: 0 },
    byPool: {},
  };
  const { clock, random } = world;
  const dispatchers = new Map<PoolId, PieceDispatcher>(
    load.pools.map((pool) => [poolIdSchema.parse(pool.name), createDispatcher(world, pool)]),
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
      await later(clock, HOP_MS);
      const dispatcher = dispatchers.get(poolId);
      if (dispatcher === undefined) throw new Error(`the load has no pool ${poolId}`);
      return dispatcher.run(group, signal, onInputsFetched);
    },
    free: (poolId, results) => dispatchers.get(poolId)?.free(results),
    handleRequest: () => undefined,
  };
  const kinds = load.kinds.map(({ name }): KindResult => ({
    name,
    asked: 0,
    onTarget: 0,
    late: 0,
    failed: 0,
    credit: 0,
    owed: 0,
    firstMs: [],
  }));

  async function serve(
    kind: RequestKind,
    result: KindResult,
    index: number,
    arrivedAt = clock.now(),
  ): Promise<void> {
    const isRetry = clock.now() > arrivedAt;
    if (!isRetry) {
      result.asked += 1;
      result.owed += kind.worth;
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
      // A caller comes back once, and waits no longer than a third of the time that is left.
      const leftMs = arrivedAt + kind.deadlineMs - clock.now();
      await later(clock, Math.min(leftMs / 3, retryAfterMs * (1 + random.nextFraction())));
      await serve(kind, result, index, arrivedAt);
      return;
    }
    await later(clock, kind.firstEventMs);
    output.value.free();
    const firstMs = clock.now() - arrivedAt;
    result.firstMs.push(firstMs);
    const isOnTarget = firstMs <= kind.targetMs;
    if (isOnTarget) result.onTarget += 1;
    else result.late += 1;
    result.credit += isOnTarget ? kind.worth : kind.lateWorth;
  }

  load.kinds.forEach((kind, kindIndex) => {
    const result = kinds[kindIndex];
    if (result === undefined) return;
    drawArrivals(world, kind).forEach((at, index) => {
      clock.schedule(at, () => void serve(kind, result, index));
    });
  });
  const longest = Math.max(...load.kinds.map(({ deadlineMs }) => deadlineMs));
  for (let at = 0; at < load.lengthMs + longest; at += STEP_MS) {
    if (at % REPORT_INTERVAL_MS === 0) {
      for (const [poolId, dispatcher] of dispatchers) {
        world.waits.set(poolId, dispatcher.listWaits());
      }
    }
    await clock.advance(STEP_MS);
    // Lets chains of promises run to their ends before time moves on.
    await new Promise((resolve) => setImmediate(resolve));
  }
  const sum = (pick: (result: KindResult) => number) =>
    kinds.reduce((total, result) => total + pick(result), 0);
  return {
    kinds,
    credit: sum(({ credit }) => credit) / sum(({ owed }) => owed),
    ...world.counts,
    byPool: world.byPool,
  };
}
