import { createRefusal, type BackendServerId, type Failure } from '@endiveferry/base';
import { err } from 'neverthrow';

import type { PieceFailure } from '../ports.js';
import type { StageCapacity } from '../RelayConfiguration.js';
import { chooseBatch, type BatchPart } from './chooseBatch.js';
import { estimateCallMs, estimateSoloMs } from './estimateCallMs.js';
import { createGroupQueue, type CallSlot } from './createGroupQueue.js';
import { createReplicaStates, type ReplicaState } from './createReplicaStates.js';
import type {
  PieceDispatcher,
  PieceDispatcherOptions,
  PieceResult,
  BatchOutcome,
} from './PieceDispatcher.js';
import { createWaitMemo } from './createWaitMemo.js';
import { createQueuedGroup, type QueuedGroup } from './QueuedGroup.js';
import { computeWaits, type RankWait } from './RankWait.js';
import { rejectUnattainable } from './rejectUnattainable.js';
import type { PieceGroup } from './WaitingGroup.js';

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

/** Lists why pieces of a call brought no result. */
const listFailures = (answer: BatchOutcome): readonly PieceFailure[] =>
  answer.kind === 'answered'
    ? answer.outcomes.flatMap((outcome) => (outcome.kind === 'failed' ? [outcome.reason] : []))
    : [];

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
  const queue = createGroupQueue({ poolId, clock, mayRetry: options.mayRetry, free });
  let capacity: StageCapacity | undefined;
  let cancelLook: (() => void) | undefined;

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
    const soloMs = estimateSoloMs(capacity, group.pieceCount, 1);
    return rejectUnattainable(group, { now: clock.now(), soloMs, waits, estimateWaitMs });
  }

  function dropExpired(): void {
    const waits = listWaits();
    const estimateWaitMs = createWaitMemo(options.estimateWaitMs);
    queue.dropExpired(({ group }) => findRefusal(group, waits, estimateWaitMs));
  }

  function findIdle(slots: number): ReplicaState[] {
    return replicas
      .listUsable()
      .filter((state) => state.running() < slots)
      .sort((a, b) => a.slowness() - b.slowness());
  }

  function listWaits(): RankWait[] {
    if (capacity === undefined) return [];
    return computeWaits(queue.listGroups(), capacity, replicas.listUsable().length);
  }

  function look(): void {
    if (capacity === undefined) return;
    dropExpired();
    const estimateWaitMs = createWaitMemo(options.estimateWaitMs);
    const idle = findIdle(capacity.slots);
    for (const [index, replica] of idle.entries()) {
      const waiting = queue.listWaiting();
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
        idleZones: new Set(idle.slice(index + 1).map((state) => state.server().availabilityZone)),
        estimateWaitMs,
      });
      if (parts.length > 0) void runCall(replica, parts, capacity);
    }
    if (queue.countWaiting() > 0) scheduleLook();
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
    const slots = queue.takePieces(parts);
    const bytes = slots.reduce((sum, { entry }) => sum + entry.group.resultBytes, 0);
    const expectedMs = estimateCallMs({ callMs, pieceMs, resultTtlMs, ...rest }, slots.length, 1);
    const timeoutMs = Math.max(
      MIN_CALL_TIMEOUT_MS,
      expectedMs * CALL_PATIENCE * Math.max(1, replica.slowness()),
    );
    const startedAt = clock.now();
    replica.startCall(bytes);
    const cancelFetched = clock.schedule(FETCH_MS, () => queue.noteFetched(slots));
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
      waiting: queue.countWaiting(),
      slowness: Number(replica.slowness().toFixed(2)),
      freeBytes: replica.freeBytes({ callMs, pieceMs, resultTtlMs, ...rest }),
      measuredMs: Math.round(measuredMs),
      expectedMs: Math.round(expectedMs),
      outcome: answer.kind,
      failed: listFailures(answer),
    });
    if (answer.kind === 'answered') {
      replica.recordSuccess(measuredMs, expectedMs);
      slots.forEach((slot, index) => {
        const outcome = answer.outcomes[index];
        if (outcome?.kind === 'made') takeResult(replica, slot, outcome.handle, resultTtlMs);
        else pieceFailureHandlers[outcome?.reason ?? 'error'](replica, slot);
      });
    } else {
      callFailureHandlers[answer.kind](replica, answer);
      for (const slot of slots) queue.requeue(slot, answer.kind !== 'failed');
    }
    look();
  }

  function takeResult(replica: ReplicaState, slot: CallSlot, handle: string, ttlMs: number): void {
    const result = { serverId: replica.server().serverId, handle };
    replica.addResult(handle, slot.entry.group.resultBytes, ttlMs);
    if (!queue.takeResult(slot, result)) free([result]);
  }

  const pieceFailureHandlers: Record<
    PieceFailure,
    (replica: ReplicaState, slot: CallSlot) => void
  > = {
    late: (_replica, { entry }) =>
      queue.end(
        entry,
        err(createRefusal('deadline-exceeded', `a piece came too late to ${poolId}`)),
      ),
    'input-gone': (_replica, { entry }) =>
      queue.end(entry, err(createRefusal('input-lost', `an input of ${poolId} is gone`))),
    'no-room': (replica, slot) => {
      replica.recordFull();
      queue.requeue(slot, true);
    },
    error: (_replica, slot) => queue.requeue(slot, false),
  };

  const callFailureHandlers: Record<
    Exclude<BatchOutcome['kind'], 'answered'>,
    (replica: ReplicaState, answer: BatchOutcome) => void
  > = {
    full: (replica) => replica.recordFull(),
    gone: (replica) => {
      replica.recordFailure();
      options.onServerReplaced(replica.server().serverId);
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
          queue.end(entry, err(createRefusal('cancelled', 'the request was given up')));
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
    countWaiting: queue.countWaiting,
  };
}
