import {
  createNotRunFailure,
  type Clock,
  type Failure,
  type RankId,
  type WorkspaceId,
} from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import { createFairQueue, type FairQueue } from './createFairQueue.js';
import { createUsageMeter } from './createUsageMeter.js';
import type { QueueEntry, QueueRequest } from './QueueEntry.js';

/** Time constant of the decay of a rank's use, which is compared with its floor. */
const FLOOR_TIME_CONSTANT_MS = 2_000;
/** Retry delay reported for a call that is rejected because the queue is full. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Permission to run one call.
 *
 * @public
 */
export interface Slot {
  /** Time spent in the queue, in milliseconds. */
  readonly waitedMs: number;
  /** Whether the call counts towards its rank's floor; servers must not deprioritize such calls. */
  readonly isWithinFloor: boolean;
  /** Releases the slot, given the service time in milliseconds; repeated calls have no effect. */
  release(serviceMs: number): void;
}

/**
 * Order and floor of one rank.
 *
 * @public
 */
export interface RankPolicy {
  readonly id: RankId;
  /** Position in the order of urgency; the most urgent rank has the lowest. */
  readonly order: number;
  /** Guaranteed share of the slots, from 0 to 1. */
  readonly floorShare: number;
}

/**
 * Options of a stage queue.
 *
 * @public
 */
export interface StageQueueOptions {
  readonly clock: Clock;
  /** Lists the ranks; called on every decision, so that a new configuration applies at once. */
  readonly listRanks: () => readonly RankPolicy[];
  /** Returns a workspace's weight. */
  readonly getWeight: (workspaceId: WorkspaceId) => number;
  /** Returns the maximum number of waiting calls. */
  readonly getMaxWaiting: () => number;
  /** Returns the number of calls that this host may run concurrently in the pool. */
  readonly getBudget: () => number;
}

/** Number of running and waiting calls of one rank and workspace. @public */
export interface SlotDemand {
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  readonly slots: number;
}

/**
 * Queue of the calls to one pool.
 *
 * @public
 */
export interface StageQueue {
  /** Waits for a slot; a failure is the reason why the call is not started. */
  acquire(request: QueueRequest): Promise<Result<Slot, Failure>>;
  /** Adds a call that is yet to arrive to wait estimates; returns a function that removes it. */
  registerExpectedCall(rankId: RankId, workspaceId: WorkspaceId, costMs: number): () => void;
  /** Estimates the waiting time of a new call, in milliseconds. */
  estimateWait(rankId: RankId, workspaceId: WorkspaceId): number;
  /** Lists this host's demand on the pool, to be reported to the other hosts. */
  listDemand(): readonly SlotDemand[];
  /** Starts waiting calls while the budget allows, for use after the budget has changed. */
  startQueuedCalls(): void;
  readonly running: () => number;
  readonly waiting: () => number;
}

/**
 * Creates the queue of one pool. Ranks below their floor are served first, then ranks in order of
 * urgency; within a rank, service is fair between workspaces by cost.
 *
 * @param options - see {@link StageQueueOptions}
 * @returns an empty queue
 * @public
 */
export function createStageQueue(options: StageQueueOptions): StageQueue {
  const { clock, listRanks, getWeight, getMaxWaiting, getBudget } = options;
  const queues = new Map<RankId, FairQueue>();
  const usage = createUsageMeter<RankId>(clock, FLOOR_TIME_CONSTANT_MS);
  const runningSlots = createCounter();
  const expectedCallMs = createCounter();
  let running = 0;
  let waiting = 0;

  function getOrCreateQueue(rankId: RankId): FairQueue {
    const queue = queues.get(rankId) ?? createFairQueue(getWeight);
    queues.set(rankId, queue);
    return queue;
  }

  function isBelowFloor({ id, floorShare }: RankPolicy): boolean {
    return usage.rate(id) < floorShare * getBudget();
  }

  /** Lists the ranks with waiting calls in order of service. */
  function listWaitingRanks(): RankPolicy[] {
    return listRanks()
      .filter((rank) => (queues.get(rank.id)?.count() ?? 0) > 0)
      .sort((a, b) => Number(isBelowFloor(b)) - Number(isBelowFloor(a)) || a.order - b.order);
  }

  function recordDequeue(entry: QueueEntry): void {
    waiting -= 1;
    entry.isWaiting = false;
  }

  function rejectExpired(entry: QueueEntry): void {
    recordDequeue(entry);
    entry.reject(
      createNotRunFailure('deadline-exceeded', 'queued for too long to meet the deadline'),
    );
  }

  function popNext(): QueueEntry | undefined {
    for (const rank of listWaitingRanks()) {
      const entry = getOrCreateQueue(rank.id).pop(clock.now(), rejectExpired);
      if (entry === undefined) continue;
      recordDequeue(entry);
      return entry;
    }
    return undefined;
  }

  function startQueuedCalls(): void {
    while (waiting > 0 && running < getBudget()) {
      const entry = popNext();
      if (entry === undefined) return;
      entry.start();
    }
  }

  function rejectWaiting(entry: QueueEntry, failure: Failure): void {
    if (!entry.isWaiting) return;
    recordDequeue(entry);
    getOrCreateQueue(entry.rankId).remove(entry);
    entry.reject(failure);
  }

  function rejectExcess(): void {
    if (waiting <= getMaxWaiting()) return;
    const leastUrgentFirst = [...listRanks()].sort((a, b) => b.order - a.order);
    for (const rank of leastUrgentFirst) {
      const victim = queues.get(rank.id)?.findVictim();
      if (victim === undefined) continue;
      const detail = 'the queue is full and other calls have precedence';
      rejectWaiting(victim, createNotRunFailure('overloaded', detail, DEFAULT_RETRY_AFTER_MS));
      return;
    }
  }

  function createSlot(request: QueueRequest, enqueuedAt: number): Slot {
    const key = `${request.rankId} ${request.workspaceId}`;
    const rank = listRanks().find(({ id }) => id === request.rankId);
    const isWithinFloor = rank !== undefined && isBelowFloor(rank);
    running += 1;
    runningSlots.add(key, 1);
    usage.add(request.rankId, request.costMs);
    let isReleased = false;
    return {
      waitedMs: clock.now() - enqueuedAt,
      isWithinFloor,
      release(serviceMs) {
        if (isReleased) return;
        isReleased = true;
        running -= 1;
        runningSlots.add(key, -1);
        usage.add(request.rankId, serviceMs - request.costMs);
        startQueuedCalls();
      },
    };
  }

  function acquire(request: QueueRequest): Promise<Result<Slot, Failure>> {
    return new Promise((resolve) => {
      const enqueuedAt = clock.now();
      const cancel = () =>
        rejectWaiting(entry, createNotRunFailure('cancelled', 'the call was cancelled'));
      const finish = (result: Result<Slot, Failure>) => {
        request.signal?.removeEventListener('abort', cancel);
        resolve(result);
      };
      const entry: QueueEntry = {
        ...request,
        enqueuedAt,
        isWaiting: true,
        start: () => finish(ok(createSlot(request, enqueuedAt))),
        reject: (failure) => finish(err(failure)),
      };
      if (request.signal?.aborted === true) {
        finish(err(createNotRunFailure('cancelled', 'the call was cancelled')));
        return;
      }
      request.signal?.addEventListener('abort', cancel, { once: true });
      getOrCreateQueue(request.rankId).push(entry);
      waiting += 1;
      startQueuedCalls();
      rejectExcess();
    });
  }

  /** Estimates the slots available to a rank: its floor, or what more urgent ranks leave unused. */
  function estimateRankSlots(rankId: RankId): number {
    const ranks = listRanks();
    const rank = ranks.find(({ id }) => id === rankId);
    if (rank === undefined) return 0;
    const budget = getBudget();
    const usedAbove = ranks
      .filter(({ order }) => order < rank.order)
      .reduce((sum, { id }) => sum + usage.rate(id), 0);
    const floorsBelow = ranks
      .filter(({ id, order }) => order > rank.order && (queues.get(id)?.count() ?? 0) > 0)
      .reduce((sum, { floorShare }) => sum + floorShare * budget, 0);
    return Math.max(rank.floorShare * budget, budget - usedAbove - floorsBelow);
  }

  function estimateWait(rankId: RankId, workspaceId: WorkspaceId): number {
    const queue = getOrCreateQueue(rankId);
    const hasFreeSlot = running < getBudget() && waiting === 0;
    const expectedMs = expectedCallMs.get(`${rankId} ${workspaceId}`);
    if (hasFreeSlot && expectedMs === 0) return 0;
    const competitors = queue.listWaiting().filter((id) => id !== workspaceId);
    const weight = getWeight(workspaceId);
    const competitorWeight = competitors.reduce((sum, id) => sum + getWeight(id), 0);
    const share = weight / (weight + competitorWeight);
    const aheadMs = queue.waitingMs(workspaceId) + expectedMs;
    const slots = estimateRankSlots(rankId) * share;
    return slots > 0 ? aheadMs / slots : Infinity;
  }

  function listDemand(): readonly SlotDemand[] {
    return listRanks().flatMap(({ id: rankId }) => {
      const queue = getOrCreateQueue(rankId);
      const waitingIds = queue.listWaiting();
      const runningIds = runningSlots
        .keys()
        .filter((key) => key.startsWith(`${rankId} `))
        .map((key) => key.slice(rankId.length + 1) as WorkspaceId);
      return [...new Set([...waitingIds, ...runningIds])].map((workspaceId) => ({
        rankId,
        workspaceId,
        slots: runningSlots.get(`${rankId} ${workspaceId}`) + queue.waitingCount(workspaceId),
      }));
    });
  }

  return {
    acquire,
    registerExpectedCall(rankId, workspaceId, costMs) {
      const key = `${rankId} ${workspaceId}`;
      expectedCallMs.add(key, costMs);
      let isUnregistered = false;
      return () => {
        if (isUnregistered) return;
        isUnregistered = true;
        expectedCallMs.add(key, -costMs);
      };
    },
    estimateWait,
    listDemand,
    startQueuedCalls,
    running: () => running,
    waiting: () => waiting,
  };
}

/** Creates sums by key; a key whose sum is 0, up to rounding errors, is removed. */
function createCounter() {
  const sums = new Map<string, number>();
  return {
    add(key: string, amount: number): void {
      const sum = (sums.get(key) ?? 0) + amount;
      if (Math.abs(sum) < 1e-6) sums.delete(key);
      else sums.set(key, sum);
    },
    get: (key: string): number => sums.get(key) ?? 0,
    keys: (): string[] => [...sums.keys()],
  };
}
