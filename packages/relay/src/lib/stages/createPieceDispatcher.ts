import { createNotRunFailure, type BackendServerId, type Failure } from '@endiveferry/base';
import { err } from 'neverthrow';

import type { BatchOutcome } from '../ports.js';
import type { StageCapacity } from '../RelayConfiguration.js';
import { chooseBatch, listStartable, type BatchPart } from './chooseBatch.js';
import { computeCallTimeoutMs, estimateCallMs, estimateSoloMs } from './estimateCallMs.js';
import { createGroupQueue, type CallSlot } from './createGroupQueue.js';
import { createPieceFailureHandler, isRefused } from './createPieceFailureHandler.js';
import { compareRamping, createReplicaStates, type ReplicaState } from './createReplicaStates.js';
import type { PieceDispatcher, PieceDispatcherOptions, PieceResult } from './PieceDispatcher.js';
import { computePlannedSlowness, noLimits, sumPlanned } from './replicaLimits.js';
import { createRankDemand } from './createRankDemand.js';
import { createScanScheduler } from './createScanScheduler.js';
import { createWaitMemo } from './createWaitMemo.js';
import { createQueuedGroup, type QueuedGroup } from './QueuedGroup.js';
import type { RankWait } from '../RankWait.js';
import { computeWaits } from './computeWaits.js';
import { describePieceCall } from './describePieceCall.js';
import { rejectOversized } from './rejectOversized.js';
import { rejectUnattainable } from './rejectUnattainable.js';
import { rejectUnusable } from './rejectUnusable.js';
import type { PieceGroup } from './WaitingGroup.js';

/** Longest time for which an expired group stays in the queue of busy replicas, in milliseconds. */
const SETTLE_INTERVAL_MS = 25;
/**
 * Time after the start of a call by which its replica is assumed to have fetched the inputs, in
 * milliseconds: they are a few megabytes over gigabit links. If the assumption is wrong, the
 * inputs are lost and the stages of the request run again.
 */
const INPUT_FETCH_MS = 120;

/**
 * Creates the dispatcher of a pool. It distributes queued pieces to replicas whenever a group
 * arrives, a call ends, results are freed or the server list changes, and periodically while
 * pieces are waiting.
 *
 * @param options - see {@link PieceDispatcherOptions}
 * @returns the dispatcher, initially without replicas
 * @public
 */
export function createPieceDispatcher(options: PieceDispatcherOptions): PieceDispatcher {
  const { poolId, clock, logger, limits = noLimits } = options;
  const replicas = createReplicaStates(clock, options.ramps);
  const queue = createGroupQueue({
    poolId,
    clock,
    tryWithdrawRetry: options.tryWithdrawRetry,
    free,
  });
  const demand = createRankDemand(clock);
  const scans = createScanScheduler(clock, scan);
  const handlePieceFailure = createPieceFailureHandler(poolId, queue, options.metrics);
  let capacity: StageCapacity | undefined;
  let settledAt = -Infinity;

  function free(results: readonly PieceResult[]): void {
    const byServer = new Map<BackendServerId, string[]>();
    for (const { serverId, handle } of results) {
      const replica = replicas.find(serverId);
      // Its calls are left to pieces, or it gets none; the result expires there.
      if (limits.isLimited(serverId) || replica?.server().isEvacuated === true) continue;
      replica?.removeResult(handle);
      byServer.set(serverId, [...(byServer.get(serverId) ?? []), handle]);
    }
    for (const [serverId, handles] of byServer) {
      const server = replicas.find(serverId)?.server();
      if (server !== undefined) options.sendFree(server, handles);
    }
    requestScan();
  }

  function findRejection(
    group: PieceGroup,
    waits: readonly RankWait[],
    estimateWaitMs = options.estimateWaitMs,
  ): Failure | undefined {
    if (capacity === undefined) return undefined;
    const slowness = computePlannedSlowness(replicas.listUsable(), limits);
    const soloMs = estimateSoloMs(capacity, group.pieceCount, slowness);
    return rejectUnattainable(group, { now: clock.now(), soloMs, waits, estimateWaitMs });
  }

  function settleExpired(): void {
    settledAt = clock.now();
    const waits = listWaits();
    const estimateWaitMs = createWaitMemo(options.estimateWaitMs);
    queue.settleExpired(({ group }) => findRejection(group, waits, estimateWaitMs));
  }

  function findIdle(slots: number): ReplicaState[] {
    return replicas
      .listUsable()
      .filter((state) => state.running() < slots && limits.maySend(state.server().serverId))
      .sort((a, b) => compareRamping(a, b) || a.slowness() - b.slowness());
  }

  function listWaits(): RankWait[] {
    if (capacity === undefined) return [];
    return computeWaits(queue.listGroups(), capacity, sumPlanned(replicas.listUsable(), limits));
  }

  function requestScan(): void {
    if (queue.countGroups() > 0) scans.request();
  }

  /**
   * Settles expired groups and starts calls; returns whether pieces are still waiting. While all
   * replicas are busy, the arrivals and freed results of an overload need no look at the whole queue.
   */
  function scan(): boolean {
    const idle = capacity === undefined ? [] : findIdle(capacity.slots);
    const rejection =
      idle.length > 0 ? undefined : rejectUnusable(poolId, replicas, limits.hasShare);
    if (rejection !== undefined) queue.rejectWaiting(rejection);
    if (idle.length > 0 || clock.now() - settledAt >= SETTLE_INTERVAL_MS) settleExpired();
    if (capacity !== undefined && idle.length > 0) startCalls(idle, capacity);
    return queue.countWaiting() > 0;
  }

  function startCalls(idle: readonly ReplicaState[], currentCapacity: StageCapacity): void {
    const estimateWaitMs = createWaitMemo(options.estimateWaitMs);
    const now = clock.now();
    let startable = listStartable(queue.listWaiting(), { now, estimateWaitMs, demand });
    const zones = new Set(replicas.listUsable().map((state) => state.server().availabilityZone));
    const minResultBytes = Math.min(...startable.map(({ group }) => group.resultBytes));
    for (const [index, replica] of idle.entries()) {
      if (startable.length === 0) return;
      const freeBytes = replica.freeBytes(currentCapacity);
      if (freeBytes < minResultBytes) continue;
      const parts = chooseBatch({
        startable,
        waitingPieces: queue.countWaiting(),
        capacity: currentCapacity,
        replica: {
          availabilityZone: replica.server().availabilityZone,
          slowness: replica.slowness(),
          freeBytes,
          maxPieces: replica.maxPieces(),
        },
        replicaCount: replicas.list().length,
        now,
        zones,
        idleZones: new Set(idle.slice(index + 1).map((state) => state.server().availabilityZone)),
        estimateWaitMs,
        demand,
      });
      if (parts.length === 0) continue;
      void runCall(replica, parts, currentCapacity);
      startable = startable.filter(({ pieces }) => pieces.length > 0);
    }
  }

  async function runCall(
    replica: ReplicaState,
    parts: readonly BatchPart<QueuedGroup>[],
    currentCapacity: StageCapacity,
  ): Promise<void> {
    const slots = queue.dequeuePieces(parts);
    const bytes = slots.reduce((sum, { entry }) => sum + entry.group.resultBytes, 0);
    const expectedMs = estimateCallMs(currentCapacity, slots.length, 1);
    const startedAt = clock.now();
    replica.startCall(bytes);
    limits.recordSent(replica.server().serverId);
    const cancelFetchTimer = clock.schedule(INPUT_FETCH_MS, () => queue.recordFetched(slots));
    const callOutcome = await options.sendPieces(
      replica.server(),
      slots.map(({ entry: { group }, pieceIndex }) => ({
        requestId: group.requestId,
        stageIndex: group.stageIndex,
        pieceIndex,
        remainingMs: Math.max(1, Math.floor(group.endAt - clock.now())),
        key: group.key,
        inputs: group.inputs,
      })),
      computeCallTimeoutMs(expectedMs, replica.slowness()),
    );
    replica.endCall(bytes);
    cancelFetchTimer();
    const measuredMs = clock.now() - startedAt;
    options.metrics.recordPieceCall(poolId, callOutcome.kind);
    logger.info('batched piece call ended', {
      pool: poolId,
      waiting: queue.countWaiting(),
      freeBytes: replica.freeBytes(currentCapacity),
      ...describePieceCall({ replica, parts, slots, measuredMs, expectedMs, callOutcome }),
    });
    if (callOutcome.kind === 'answered') {
      replica.recordSuccess(measuredMs, expectedMs, callOutcome.slowdown);
      slots.forEach((slot, index) => {
        const outcome = callOutcome.outcomes[index];
        if (outcome?.kind === 'made')
          storeResult(replica, slot, outcome.handle, currentCapacity.resultTtlMs);
        else handlePieceFailure(replica, slot, outcome?.reason ?? 'error');
      });
      if (callOutcome.outcomes.some(isRefused)) {
        replica.recordRefused(currentCapacity);
        logger.warn('replica has no room for stage results of which the dispatcher knows nothing', {
          pool: poolId,
          backendServer: replica.server().serverId,
          refused: callOutcome.outcomes.filter(isRefused).length,
        });
      }
    } else {
      callFailureHandlers[callOutcome.kind](replica, callOutcome, startedAt);
      for (const slot of slots) queue.requeue(slot, callOutcome.kind !== 'failed');
    }
    requestScan();
  }

  function storeResult(replica: ReplicaState, slot: CallSlot, handle: string, ttlMs: number): void {
    const result = { serverId: replica.server().serverId, handle };
    replica.addResult(handle, slot.entry.group.resultBytes, ttlMs);
    options.recordPieceRun?.();
    if (queue.recordResult(slot, result)) return;
    options.metrics.recordUnusedResult(poolId);
    free([result]);
  }

  const callFailureHandlers: Record<
    Exclude<BatchOutcome['kind'], 'answered'>,
    (replica: ReplicaState, callOutcome: BatchOutcome, sentAt: number) => void
  > = {
    full: (replica, callOutcome, sentAt) => {
      replica.recordFull(callOutcome.kind === 'full' ? { ...callOutcome, sentAt } : undefined);
      // Its only call is another dispatcher's: one before this one, or beside it for a time.
      if (capacity !== undefined && !limits.isLimited(replica.server().serverId))
        replica.recordForeignCall(capacity);
    },
    withheld: () => undefined,
    gone: (replica, _callOutcome, sentAt) => {
      replica.recordFailure(sentAt);
      options.onServerReplaced(replica.server().serverId);
    },
    failed: (replica, callOutcome, sentAt) => {
      replica.recordFailure(sentAt);
      logger.warn('batched piece call failed', {
        pool: poolId,
        backendServer: replica.server().serverId,
        detail: callOutcome.kind === 'failed' ? callOutcome.detail : callOutcome.kind,
      });
    },
  };

  return {
    run(group, signal, onInputsFetched = () => undefined) {
      return new Promise((resolve) => {
        if (signal.aborted) {
          resolve(err(createNotRunFailure('cancelled', 'request cancelled')));
          return;
        }
        demand.record(group);
        const pool = { capacity, replicaCount: replicas.list().length, now: clock.now() };
        const rejection =
          rejectOversized(group, pool) ??
          rejectUnusable(poolId, replicas, limits.hasShare) ??
          (group.isEntry ? findRejection(group, listWaits()) : undefined);
        if (rejection !== undefined) {
          resolve(err(rejection));
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
          queue.settle(entry, err(createNotRunFailure('cancelled', 'request cancelled')));
        signal.addEventListener('abort', cancel, { once: true });
        queue.add(entry);
        requestScan();
      });
    },
    free,
    update(nextCapacity, servers) {
      capacity = nextCapacity;
      replicas.update(servers);
      requestScan();
    },
    listWaits,
    countWaiting: queue.countWaiting,
    countGroups: queue.countGroups,
  };
}
