import type { FakeClock, PoolId, Random } from '@endiveferry/base';
import type {
  ListedServer,
  PieceRequest,
  PieceFailure,
  PieceOutcome,
  BatchOutcome,
  RankWait,
} from '@endiveferry/relay';

import type { StageLoad, StagePool } from './StageLoad.js';

/** One-way network latency between a host, a dispatcher and a replica, in milliseconds. */
export const HOP_LATENCY_MS = 2;
/** Time from the end of a call until its results expire, in milliseconds. */
export const RESULT_TTL_MS = 4_000;

/** Counters over all replicas of one pool. */
export interface PoolCounts {
  calls: number;
  results: number;
  /** Time that calls occupied the replicas, in milliseconds. */
  busyMs: number;
  /** Pieces without a result, by reason. */
  readonly failed: Partial<Record<PieceFailure, number>>;
}

/** State that all parts of a replay share. */
export interface Simulation {
  readonly clock: FakeClock;
  readonly random: Random;
  readonly load: StageLoad;
  /** Results that replicas hold, by handle. */
  readonly results: Map<
    string,
    { readonly zone: string; readonly bytes: number; expiresAt: number }
  >;
  /** Memory that results occupy, by server id, in bytes. */
  readonly usedBytes: Map<string, number>;
  /** Expected waits that hosts last reported, by pool; updated at intervals. */
  readonly waits: Map<PoolId, readonly RankWait[]>;
  readonly counts: { calls: number; pieces: number; remoteBytes: number };
  readonly byPool: Record<string, PoolCounts>;
}

/** Waits for a delay in simulated time. */
export const waitFor = (clock: FakeClock, delayMs: number) =>
  new Promise<void>((resolve) => clock.schedule(delayMs, resolve));

/**
 * Creates a simulated replica whose call times, result sizes and inputs follow the load.
 *
 * @param simulation - state of the replay
 * @param pool - the replica's pool
 * @param server - list entry of the replica
 * @param slowness - factor on the pool's time for a call
 * @returns a function that executes a call with a group of pieces
 */
export function createReplica(
  simulation: Simulation,
  pool: StagePool,
  server: ListedServer,
  slowness: number,
) {
  const { clock, results, usedBytes, counts } = simulation;
  let freeAt = 0;
  const poolCounts = (simulation.byPool[pool.name] ??= {
    calls: 0,
    results: 0,
    busyMs: 0,
    failed: {},
  });
  const fail = (reason: PieceFailure): PieceOutcome => {
    poolCounts.failed[reason] = (poolCounts.failed[reason] ?? 0) + 1;
    return { kind: 'failed', reason };
  };
  return async (pieces: readonly PieceRequest[]): Promise<BatchOutcome> => {
    await waitFor(clock, HOP_LATENCY_MS);
    const startAt = Math.max(clock.now(), freeAt);
    const workMs = pieces.reduce(
      (sum, piece) => sum + pool.pieceMs * getWorkFactor(simulation, piece),
      0,
    );
    freeAt = startAt + (pool.callMs + workMs) * slowness;
    await waitFor(clock, startAt - clock.now());
    counts.calls += 1;
    poolCounts.calls += 1;
    poolCounts.busyMs += freeAt - startAt;
    const outcomes = pieces.map((piece): PieceOutcome => {
      const inputs = piece.inputs ?? [];
      if (inputs.some((handle) => (results.get(handle)?.expiresAt ?? 0) < clock.now())) {
        return fail('input-gone');
      }
      for (const handle of inputs) {
        const input = results.get(handle);
        if (input !== undefined && input.zone !== server.availabilityZone) {
          counts.remoteBytes += input.bytes;
        }
      }
      const bytes = getResultBytes(simulation, piece);
      const used = usedBytes.get(server.serverId) ?? 0;
      if (used + bytes > pool.resultMemoryBytes) return fail('no-room');
      usedBytes.set(server.serverId, used + bytes);
      const handle = `${server.serverId}/${piece.requestId}/${piece.stageIndex}/${piece.pieceIndex}`;
      results.set(handle, {
        zone: server.availabilityZone,
        bytes,
        expiresAt: freeAt + RESULT_TTL_MS,
      });
      counts.pieces += 1;
      poolCounts.results += 1;
      return { kind: 'made', handle };
    });
    await waitFor(clock, freeAt - clock.now() + HOP_LATENCY_MS);
    return { kind: 'answered', outcomes };
  };
}

function findStage({ load }: Simulation, { requestId, stageIndex }: PieceRequest) {
  const kind = load.kinds.find(({ name }) => requestId.startsWith(`${name}-`));
  return kind?.stages[stageIndex];
}

const getWorkFactor = (simulation: Simulation, piece: PieceRequest) =>
  findStage(simulation, piece)?.workFactor ?? 1;
const getResultBytes = (simulation: Simulation, piece: PieceRequest) =>
  findStage(simulation, piece)?.resultBytes ?? 0;

/** Removes a result from its replica's memory; does nothing when it was removed before. */
export function freeResult({ results, usedBytes }: Simulation, handle: string): void {
  const result = results.get(handle);
  if (result === undefined) return;
  const [serverId = ''] = handle.split('/');
  usedBytes.set(serverId, (usedBytes.get(serverId) ?? 0) - result.bytes);
  results.delete(handle);
}
