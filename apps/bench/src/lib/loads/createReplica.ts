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

/** Time of one way between a host, a dispatcher and a replica, in milliseconds. */
export const HOP_MS = 2;
/** How long results are kept after their call, in milliseconds. */
export const RESULT_TTL_MS = 4_000;

/** What the replicas of one pool did. */
export interface PoolCounts {
  calls: number;
  results: number;
  busyMs: number;
  readonly failed: Partial<Record<PieceFailure, number>>;
}

/** Everything that a replay shares. */
export interface World {
  readonly clock: FakeClock;
  readonly random: Random;
  readonly load: StageLoad;
  readonly results: Map<
    string,
    { readonly zone: string; readonly bytes: number; expiresAt: number }
  >;
  readonly roomUsed: Map<string, number>;
  /** Waiting times as hosts tell them at intervals. */
  readonly waits: Map<PoolId, readonly RankWait[]>;
  readonly counts: { calls: number; pieces: number; remoteBytes: number };
  readonly byPool: Record<string, PoolCounts>;
}

/** Waits in a replay's time. */
export const later = (clock: FakeClock, delayMs: number) =>
  new Promise<void>((resolve) => clock.schedule(delayMs, resolve));

/**
 * Creates a replica that takes time, room and inputs as the load says.
 *
 * @param world - the replay
 * @param pool - the replica's pool
 * @param server - the replica as it is listed
 * @param slowness - its time for a call against the pool's
 * @returns what answers its calls
 */
export function createReplica(
  world: World,
  pool: StagePool,
  server: ListedServer,
  slowness: number,
) {
  const { clock, results, roomUsed, counts } = world;
  let freeAt = 0;
  const own = (world.byPool[pool.name] ??= { calls: 0, results: 0, busyMs: 0, failed: {} });
  const fail = (reason: PieceFailure): PieceOutcome => {
    own.failed[reason] = (own.failed[reason] ?? 0) + 1;
    return { kind: 'failed', reason };
  };
  return async (pieces: readonly PieceRequest[]): Promise<BatchOutcome> => {
    await later(clock, HOP_MS);
    const startAt = Math.max(clock.now(), freeAt);
    const workMs = pieces.reduce((sum, piece) => sum + pool.pieceMs * findFactor(world, piece), 0);
    freeAt = startAt + (pool.callMs + workMs) * slowness;
    await later(clock, startAt - clock.now());
    counts.calls += 1;
    own.calls += 1;
    own.busyMs += freeAt - startAt;
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
      const bytes = findBytes(world, piece);
      const used = roomUsed.get(server.serverId) ?? 0;
      if (used + bytes > pool.roomBytes) return fail('no-room');
      roomUsed.set(server.serverId, used + bytes);
      const handle = `${server.serverId}/${piece.requestId}/${piece.stageIndex}/${piece.pieceIndex}`;
      results.set(handle, {
        zone: server.availabilityZone,
        bytes,
        expiresAt: freeAt + RESULT_TTL_MS,
      });
      counts.pieces += 1;
      own.results += 1;
      return { kind: 'made', handle };
    });
    await later(clock, freeAt - clock.now() + HOP_MS);
    return { kind: 'answered', outcomes };
  };
}

function findStage({ load }: World, { requestId, stageIndex }: PieceRequest) {
  const kind = load.kinds.find(({ name }) => requestId.startsWith(`${name}-`));
  return kind?.stages[stageIndex];
}

const findFactor = (world: World, piece: PieceRequest) => findStage(world, piece)?.workFactor ?? 1;
const findBytes = (world: World, piece: PieceRequest) => findStage(world, piece)?.resultBytes ?? 0;

/** Gives up one result. */
export function freeResult({ results, roomUsed }: World, handle: string): void {
  const result = results.get(handle);
  if (result === undefined) return;
  const [serverId = ''] = handle.split('/');
  roomUsed.set(serverId, (roomUsed.get(serverId) ?? 0) - result.bytes);
  results.delete(handle);
}
