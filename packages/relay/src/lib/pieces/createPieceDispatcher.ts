import {
  createRefusal,
  type BackendServerId,
  type Clock,
  type Failure,
  type PoolId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { PieceCall, PieceFailure, PieceOutcome } from '../ports.js';
import type { ListedServer, StageCapacity } from '../RelayConfiguration.js';
import { chooseBatch, estimateCallMs, type BatchPart } from './chooseBatch.js';
import { createReplicaStates, type ReplicaState } from './createReplicaStates.js';
import type { RankWait } from './RankWait.js';
import { refuseLate } from './refuseLate.js';
import type { PieceGroup, WaitingGroup } from './WaitingGroup.js';

/** Calls that one piece may be in before its request fails; a piece may be made again. */
const MAX_PIECE_CALLS = 3;
/** A call without an answer after this many times its expected time is given up. */
const CALL_PATIENCE = 3;
/** Shortest time after which a call is given up, in milliseconds. */
const MIN_CALL_TIMEOUT_MS = 900;
/** Time to look again when replicas rest or have no room, in milliseconds. */
const LOOK_AGAIN_MS = 30;

/** One result of a stage. @public */
export interface PieceResult {
  readonly serverId: BackendServerId;
  readonly handle: string;
}

/** How a call of several pieces ended. @public */
export type PiecesAnswer =
  | { readonly kind: 'answered'; readonly outcomes: readonly PieceOutcome[] }
  | { readonly kind: 'full' }
  | { readonly kind: 'gone' }
  | { readonly kind: 'failed'; readonly detail: string };

/**
 * Gathers the pieces of a pool from all hosts into calls.
 *
 * @public
 */
export interface PieceDispatcher {
  /** Makes the results of a group, in the order of its pieces. */
  run(group: PieceGroup, signal: AbortSignal): Promise<Result<readonly PieceResult[], Failure>>;
  /** Gives up results that nobody needs any more. */
  free(results: readonly PieceResult[]): void;
  update(capacity: StageCapacity, servers: readonly ListedServer[]): void;
  /** How long groups that came now would wait, by rank, most urgent first. */
  readonly listWaits: () => readonly RankWait[];
  /** Pieces that wait. */
  readonly countWaiting: () => number;
}

/**
 * Options of a dispatcher.
 *
 * @public
 */
export interface PieceDispatcherOptions {
  readonly poolId: PoolId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sendPieces: (
    server: ListedServer,
    pieces: readonly PieceCall[],
    timeoutMs: number,
  ) => Promise<PiecesAnswer>;
  readonly sendFree: (server: ListedServer, handles: readonly string[]) => void;
  /** Tells of a server that another one took the address of. */
  readonly onGone: (serverId: BackendServerId) => void;
  /** Time that work waits at another pool, in milliseconds, as far as this host knows. */
  readonly estimateWaitMs: (poolId: PoolId, rank: number) => number;
  /** Asked before pieces are sent once more. */
  readonly mayRepeat: () => boolean;
}

interface QueuedGroup extends WaitingGroup {
  pieces: number[];
  readonly calls: number[];
  readonly results: (PieceResult | undefined)[];
  missing: number;
  isEnded: boolean;
  readonly settle: (result: Result<readonly PieceResult[], Failure>) => void;
}

/**
 * Creates the dispatcher of one pool.
 *
 * @param options - see {@link PieceDispatcherOptions}
 * @returns the dispatcher, without replicas yet
 * @public
 */
export function createPieceDispatcher(options: PieceDispatcherOptions): PieceDispatcher {
  const { poolId, clock, logger } = options;
  const replicas = createReplicaStates(clock);
  const queue = new Set<QueuedGroup>();
  let capacity: StageCapacity | undefined;
  let cancelLook: (() => void) | undefined;

  const countWaiting = () => [...queue].reduce((sum, { pieces }) => sum + pieces.length, 0);

  function end(entry: QueuedGroup, result: Result<readonly PieceResult[], Failure>): void {
    if (entry.isEnded) return;
    entry.isEnded = true;
    queue.delete(entry);
    if (result.isErr()) free(entry.results.filter((made) => made !== undefined));
    entry.settle(result);
  }

  function free(results: readonly PieceResult[]): void {
    const byServer = new Map<BackendServerId, string[]>();
    for (const { serverId, handle } of results) {
      replicas.find(serverId)?.removeResult(handle);
      byServer.set(serverId, [...(byServer.get(serverId) ?? []), handle]);
    }
    for (const [serverId, handles] of byServer) {
      const server = replicas.find(serverId)?.server();
      if (server !== undefined) options.sendFree(server, handles);
    }
    look();
  }

  function findRefusal(group: PieceGroup, waits: readonly RankWait[]): Failure | undefined {
    if (capacity === undefined) return undefined;
    const soloMs = estimateCallMs(capacity, Math.min(group.pieceCount, capacity.batch), 1);
    const { estimateWaitMs } = options;
    return refuseLate(group, { now: clock.now(), soloMs, waits, estimateWaitMs });
  }

  /** Ends groups whose time is over, and refuses those that nothing was done for and that are late. */
  function dropExpired(): void {
    const waits = listWaits();
    for (const entry of queue) {
      const refusal = entry.calls.length === 0 ? findRefusal(entry.group, waits) : undefined;
      if (refusal !== undefined) end(entry, err(refusal));
      if (entry.pieces.length === 0 || entry.group.endAt > clock.now()) continue;
      end(
        entry,
        err(createRefusal('deadline-exceeded', `no replica of ${poolId} was free in time`)),
      );
    }
  }

  function findIdle(slots: number): ReplicaState[] {
    return replicas
      .list()
      .filter((state) => !state.server().isLeaving && !state.isResting() && state.running() < slots)
      .sort((a, b) => a.slowness() - b.slowness());
  }

  const listZones = () =>
    new Set(
      replicas
        .list()
        .flatMap((state) =>
          state.server().isLeaving || state.isResting() ? [] : [state.server().availabilityZone],
        ),
    );

  function listWaits(): RankWait[] {
    if (capacity === undefined) return [];
    const usable = replicas
      .list()
      .filter((state) => !state.isResting() && !state.server().isLeaving).length;
    const callMs = estimateCallMs(capacity, capacity.batch, 1);
    const pieceMs = callMs / capacity.batch / Math.max(1, usable);
    const pieces = new Map<number, number>();
    for (const { group, pieces: waiting } of queue) {
      if (waiting.length === 0) continue;
      pieces.set(group.rank, (pieces.get(group.rank) ?? 0) + waiting.length);
    }
    let waitMs = 0;
    return [...pieces]
      .sort(([first], [second]) => first - second)
      .map(([rank, count]) => ({ rank, waitMs: (waitMs += count * pieceMs) }));
  }

  function look(): void {
    if (capacity === undefined) return;
    dropExpired();
    for (const replica of findIdle(capacity.slots)) {
      const waiting = [...queue].filter(({ pieces }) => pieces.length > 0);
      if (waiting.length === 0) return;
      const parts = chooseBatch({
        waiting,
        capacity,
        replica: {
          availabilityZone: replica.server().availabilityZone,
          slowness: replica.slowness(),
          freeBytes: replica.freeBytes(capacity),
        },
        replicaCount: replicas.list().length,
        idleCount: findIdle(capacity.slots).length,
        now: clock.now(),
        zones: listZones(),
        estimateWaitMs: options.estimateWaitMs,
      });
      if (parts.length > 0) void runCall(replica, parts, capacity);
    }
    if (countWaiting() > 0) scheduleLook();
  }

  function scheduleLook(): void {
    cancelLook ??= clock.schedule(LOOK_AGAIN_MS, () => {
      cancelLook = undefined;
      look();
    });
  }

  async function runCall(
    replica: ReplicaState,
    parts: readonly BatchPart<QueuedGroup>[],
    { callMs, pieceMs, resultTtlMs, ...rest }: StageCapacity,
  ): Promise<void> {
    const slots = parts.flatMap((part) =>
      part.pieces.map((pieceIndex) => ({ entry: part.waiting, pieceIndex })),
    );
    for (const part of parts) {
      const entry = part.waiting;
      const taken = new Set(part.pieces);
      entry.pieces = entry.pieces.filter((piece) => !taken.has(piece));
      for (const piece of part.pieces) entry.calls[piece] = (entry.calls[piece] ?? 0) + 1;
    }
    const bytes = slots.reduce((sum, { entry }) => sum + entry.group.resultBytes, 0);
    const expectedMs = estimateCallMs({ callMs, pieceMs, resultTtlMs, ...rest }, slots.length, 1);
    const timeoutMs = Math.max(
      MIN_CALL_TIMEOUT_MS,
      expectedMs * CALL_PATIENCE * Math.max(1, replica.slowness()),
    );
    const startedAt = clock.now();
    replica.startCall(bytes);
    const answer = await options.sendPieces(
      replica.server(),
      slots.map(({ entry: { group }, pieceIndex }) => ({
        requestId: group.requestId,
        stageIndex: group.stageIndex,
        pieceIndex,
        remainingMs: Math.max(1, Math.floor(group.endAt - clock.now())),
        key: group.key,
        inputs: group.inputs,
      })),
      timeoutMs,
    );
    replica.endCall(bytes);
    const measuredMs = clock.now() - startedAt;
    logger.debug('a call of pieces ended', {
      pool: poolId,
      backendServer: replica.server().serverId,
      groups: parts.length,
      pieces: slots.length,
      waiting: countWaiting(),
      measuredMs: Math.round(measuredMs),
      expectedMs: Math.round(expectedMs),
      outcome: answer.kind,
    });
    if (answer.kind === 'answered') {
      replica.recordSuccess(measuredMs, expectedMs);
      slots.forEach(({ entry, pieceIndex }, index) => {
        const outcome = answer.outcomes[index];
        if (outcome?.kind === 'made') {
          takeResult(replica, entry, pieceIndex, outcome.handle, resultTtlMs);
        } else {
          pieceFailureHandlers[outcome?.reason ?? 'error'](replica, entry, pieceIndex);
        }
      });
    } else {
      callFailureHandlers[answer.kind](replica, answer);
      for (const { entry, pieceIndex } of slots) {
        requeue(entry, pieceIndex, answer.kind !== 'failed');
      }
    }
    look();
  }

  function takeResult(
    replica: ReplicaState,
    entry: QueuedGroup,
    pieceIndex: number,
    handle: string,
    ttlMs: number,
  ): void {
    const result = { serverId: replica.server().serverId, handle };
    replica.addResult(handle, entry.group.resultBytes, ttlMs);
    if (entry.isEnded || entry.results[pieceIndex] !== undefined) {
      free([result]);
      return;
    }
    entry.results[pieceIndex] = result;
    entry.missing -= 1;
    if (entry.missing > 0) return;
    end(entry, ok(entry.results.filter((made) => made !== undefined)));
  }

  /** Lets a piece wait again; one that a replica refused to start may go as often as needed. */
  function requeue(entry: QueuedGroup, pieceIndex: number, wasRefused: boolean): void {
    if (entry.isEnded) return;
    if (wasRefused) entry.calls[pieceIndex] = (entry.calls[pieceIndex] ?? 1) - 1;
    const mayRun =
      wasRefused || ((entry.calls[pieceIndex] ?? 0) < MAX_PIECE_CALLS && options.mayRepeat());
    if (mayRun) {
      entry.pieces.push(pieceIndex);
      return;
    }
    end(entry, err(createRefusal('server-error', `replicas of ${poolId} made no result`)));
  }

  const pieceFailureHandlers: Record<
    PieceFailure,
    (replica: ReplicaState, entry: QueuedGroup, pieceIndex: number) => void
  > = {
    late: (_replica, entry) =>
      end(entry, err(createRefusal('deadline-exceeded', `a piece came too late to ${poolId}`))),
    'input-gone': (_replica, entry) =>
      end(entry, err(createRefusal('server-error', `an input of ${poolId} is gone`))),
    'no-room': (replica, entry, pieceIndex) => {
      replica.recordFull();
      requeue(entry, pieceIndex, true);
    },
    error: (_replica, entry, pieceIndex) => requeue(entry, pieceIndex, false),
  };

  const callFailureHandlers: Record<
    Exclude<PiecesAnswer['kind'], 'answered'>,
    (replica: ReplicaState, answer: PiecesAnswer) => void
  > = {
    full: (replica) => replica.recordFull(),
    gone: (replica) => {
      replica.recordFailure();
      options.onGone(replica.server().serverId);
    },
    failed: (replica, answer) => {
      replica.recordFailure();
      logger.warn('a call of pieces failed', {
        pool: poolId,
        backendServer: replica.server().serverId,
        detail: answer.kind === 'failed' ? answer.detail : answer.kind,
      });
    },
  };

  return {
    run(group, signal) {
      return new Promise((resolve) => {
        if (signal.aborted) {
          resolve(err(createRefusal('cancelled', 'the request was given up')));
          return;
        }
        const refusal = findRefusal(group, listWaits());
        if (refusal !== undefined) {
          resolve(err(refusal));
          return;
        }
        const entry: QueuedGroup = {
          group,
          arrivedAt: clock.now(),
          pieces: Array.from({ length: group.pieceCount }, (_, index) => index),
          calls: [],
          results: Array.from({ length: group.pieceCount }, () => undefined),
          missing: group.pieceCount,
          isEnded: false,
          settle: (result) => {
            signal.removeEventListener('abort', cancel);
            resolve(result);
          },
        };
        const cancel = () =>
          end(entry, err(createRefusal('cancelled', 'the request was given up')));
        signal.addEventListener('abort', cancel, { once: true });
        queue.add(entry);
        look();
      });
    },
    free,
    update(nextCapacity, servers) {
      capacity = nextCapacity;
      replicas.update(servers);
      look();
    },
    listWaits,
    countWaiting,
  };
}
