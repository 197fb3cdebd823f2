import { createRefusal, type BackendServerId, type Failure } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { PieceFailure } from '../ports.js';
import type { StageCapacity } from '../RelayConfiguration.js';
import { chooseBatch, estimateCallMs, type BatchPart } from './chooseBatch.js';
import { createReplicaStates, type ReplicaState } from './createReplicaStates.js';
import type {
  PieceDispatcher,
  PieceDispatcherOptions,
  PieceResult,
  PiecesAnswer,
} from './PieceDispatcher.js';
import { createWaitMemo } from './createWaitMemo.js';
import { createQueuedGroup, type QueuedGroup } from './QueuedGroup.js';
import { computeWaits, type RankWait } from './RankWait.js';
import { refuseLate } from './refuseLate.js';
import type { PieceGroup } from './WaitingGroup.js';

/** Calls that one piece may be in before its request fails; a piece may be made again. */
const MAX_PIECE_CALLS = 3;
/** A call without an answer after this many times its expected time is given up. */
const CALL_PATIENCE = 3;
/** Shortest time after which a call is given up, in milliseconds. */
const MIN_CALL_TIMEOUT_MS = 900;
/**
 * A replica that began a call has fetched its inputs after so long, in milliseconds: they are a few
 * megabytes, over links of gigabits. If it had not, the request's stages run again.
 */
const FETCH_MS = 120;
/** Time to look again when replicas rest or have no room, in milliseconds. */
const LOOK_AGAIN_MS = 30;

/** One piece of a call. */
interface CallSlot {
  readonly entry: QueuedGroup;
  readonly pieceIndex: number;
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

  function findRefusal(
    group: PieceGroup,
    waits: readonly RankWait[],
    estimateWaitMs = options.estimateWaitMs,
  ): Failure | undefined {
    if (capacity === undefined) return undefined;
    const soloMs = estimateCallMs(capacity, Math.min(group.pieceCount, capacity.batch), 1);
    return refuseLate(group, { now: clock.now(), soloMs, waits, estimateWaitMs });
  }

  /** Ends groups whose time is over, and refuses those that nothing was done for and that are late. */
  function dropExpired(): void {
    const waits = listWaits();
    const estimateWaitMs = createWaitMemo(options.estimateWaitMs);
    for (const entry of queue) {
      const refusal =
        entry.calls.length === 0 ? findRefusal(entry.group, waits, estimateWaitMs) : undefined;
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
      .listUsable()
      .filter((state) => state.running() < slots)
      .sort((a, b) => a.slowness() - b.slowness());
  }

  function listWaits(): RankWait[] {
    if (capacity === undefined) return [];
    return computeWaits([...queue], capacity, replicas.listUsable().length);
  }

  function look(): void {
    if (capacity === undefined) return;
    dropExpired();
    const estimateWaitMs = createWaitMemo(options.estimateWaitMs);
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
        now: clock.now(),
        zones: new Set(replicas.listUsable().map((state) => state.server().availabilityZone)),
        estimateWaitMs,
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
    const slots: readonly CallSlot[] = parts.flatMap((part) =>
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
    const cancelFetched = clock.schedule(FETCH_MS, () => noteFetched(slots));
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
    cancelFetched();
    const measuredMs = clock.now() - startedAt;
    logger.info('a call of pieces ended', {
      requestIds: parts.map(({ waiting }) => waiting.group.requestId),
      pool: poolId,
      backendServer: replica.server().serverId,
      pieces: slots.length,
      waiting: countWaiting(),
      slowness: Number(replica.slowness().toFixed(2)),
      freeBytes: replica.freeBytes({ callMs, pieceMs, resultTtlMs, ...rest }),
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

  /** Notes pieces whose inputs their replica does not need any more. */
  function noteFetched(slots: readonly CallSlot[]): void {
    for (const { entry, pieceIndex } of slots) {
      if (entry.isEnded || entry.fetched.has(pieceIndex)) continue;
      entry.fetched.add(pieceIndex);
      if (entry.fetched.size === entry.group.pieceCount) entry.noteInputsFetched();
    }
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
    entry.fetched.delete(pieceIndex);
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
      end(entry, err(createRefusal('input-lost', `an input of ${poolId} is gone`))),
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
    run(group, signal, onInputsFetched = () => undefined) {
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
        const entry = createQueuedGroup(
          group,
          clock.now(),
          (result) => {
            signal.removeEventListener('abort', cancel);
            resolve(result);
          },
          onInputsFetched,
        );
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
