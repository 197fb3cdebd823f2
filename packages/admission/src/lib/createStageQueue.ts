import {
  createRefusal,
  type Clock,
  type Failure,
  type RankId,
  type WorkspaceId,
} from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import { createFairQueue, type FairQueue } from './createFairQueue.js';
import { createUsageMeter } from './createUsageMeter.js';
import type { QueueEntry, QueueRequest } from './QueueEntry.js';

/** How far back a rank's use counts against its floor. */
const FLOOR_TIME_CONSTANT_MS = 2_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * The right to run one call.
 *
 * @public
 */
export interface Slot {
  /** Time spent waiting, in milliseconds. */
  readonly waitedMs: number;
  /** Whether the rank is owed this call by its floor, so that no server may put it last again. */
  readonly isWithinFloor: boolean;
  /** Gives the slot back after the call took `serviceMs` milliseconds; further calls do nothing. */
  release(serviceMs: number): void;
}

/**
 * What a queue knows of one rank.
 *
 * @public
 */
export interface RankPolicy {
  readonly id: RankId;
  readonly order: number;
  readonly floorShare: number;
}

/**
 * Options of a stage queue.
 *
 * @public
 */
export interface StageQueueOptions {
  readonly clock: Clock;
  /** The ranks; read at every decision, so that a new configuration counts at once. */
  readonly listRanks: () => readonly RankPolicy[];
  /** A workspace's weight. */
  readonly findWeight: (workspaceId: WorkspaceId) => number;
  /** How many calls may wait. */
  readonly findMaxWaiting: () => number;
  /** How many calls may run at once on this host's account. */
  readonly findBudget: () => number;
}

/** Slots that calls of one rank and workspace want, running and waiting. @public */
export interface SlotDemand {
  readonly rankId: RankId;
  readonly workspaceId: WorkspaceId;
  readonly slots: number;
}

/**
 * The queue before one pool.
 *
 * @public
 */
export interface StageQueue {
  /** Waits for a slot; a refusal says why the call was never started. */
  acquire(request: QueueRequest): Promise<Result<Slot, Failure>>;
  /** Announces a call that will come after earlier stages; the result withdraws it. */
  registerExpectedCall(rankId: RankId, workspaceId: WorkspaceId, costMs: number): () => void;
  /** Estimates how long a new call would wait, in milliseconds. */
  estimateWait(rankId: RankId, workspaceId: WorkspaceId): number;
  /** Lists what is wanted, for the other hosts to know. */
  listDemand(): readonly SlotDemand[];
  /** Starts calls that a change of budget makes room for. */
  startQueuedCalls(): void;
  readonly running: () => number;
  readonly waiting: () => number;
}

/**
 * Creates the queue before one pool. A rank that has had less than its floor goes first, then the
 * most urgent one; within a rank service is fair between workspaces by cost.
 *
 * @param options - see {@link StageQueueOptions}
 * @returns an empty queue
 * @public
 */
export function createStageQueue(options: StageQueueOptions): StageQueue {
  const { clock, listRanks, findWeight, findMaxWaiting, findBudget } = options;
  const queues = new Map<RankId, FairQueue>();
  const usage = createUsageMeter<RankId>(clock, FLOOR_TIME_CONSTANT_MS);
  const runningSlots = createCounter();
  const announcedMs = createCounter();
  let running = 0;
  let waiting = 0;

  function findQueue(rankId: RankId): FairQueue {
    const queue = queues.get(rankId) ?? createFairQueue(findWeight);
    queues.set(rankId, queue);
    return queue;
  }

  function isBelowFloor({ id, floorShare }: RankPolicy): boolean {
    return usage.rate(id) < floorShare * findBudget();
  }

  /** The ranks that have waiting calls, in the order in which they are to be served. */
  function listWaitingRanks(): RankPolicy[] {
    return listRanks()
      .filter((rank) => (queues.get(rank.id)?.count() ?? 0) > 0)
      .sort((a, b) => Number(isBelowFloor(b)) - Number(isBelowFloor(a)) || a.order - b.order);
  }

  function leaveQueue(entry: QueueEntry): void {
    waiting -= 1;
    entry.isWaiting = false;
  }

  function refuseExpired(entry: QueueEntry): void {
    leaveQueue(entry);
    entry.refuse(createRefusal('deadline-exceeded', 'waited too long to finish in time'));
  }

  function takeNext(): QueueEntry | undefined {
    for (const rank of listWaitingRanks()) {
      const entry = findQueue(rank.id).pop(clock.now(), refuseExpired);
      if (entry === undefined) continue;
      leaveQueue(entry);
      return entry;
    }
    return undefined;
  }

  function startQueuedCalls(): void {
    while (waiting > 0 && running < findBudget()) {
      const entry = takeNext();
      if (entry === undefined) return;
      entry.start();
    }
  }

  function refuseWaiting(entry: QueueEntry, failure: Failure): void {
    if (!entry.isWaiting) return;
    leaveQueue(entry);
    findQueue(entry.rankId).remove(entry);
    entry.refuse(failure);
  }

  function refuseExcess(): void {
    if (waiting <= findMaxWaiting()) return;
    const leastUrgentFirst = [...listRanks()].sort((a, b) => b.order - a.order);
    for (const rank of leastUrgentFirst) {
      const victim = queues.get(rank.id)?.findVictim();
      if (victim === undefined) continue;
      const detail = 'the queue is full and others go first';
      refuseWaiting(victim, createRefusal('overloaded', detail, DEFAULT_RETRY_AFTER_MS));
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
      const cancel = () => refuseWaiting(entry, createRefusal('cancelled', 'the caller went away'));
      const finish = (result: Result<Slot, Failure>) => {
        request.signal?.removeEventListener('abort', cancel);
        resolve(result);
      };
      const entry: QueueEntry = {
        ...request,
        enqueuedAt,
        isWaiting: true,
        start: () => finish(ok(createSlot(request, enqueuedAt))),
        refuse: (failure) => finish(err(failure)),
      };
      if (request.signal?.aborted === true) {
        finish(err(createRefusal('cancelled', 'the caller went away')));
        return;
      }
      request.signal?.addEventListener('abort', cancel, { once: true });
      findQueue(request.rankId).push(entry);
      waiting += 1;
      startQueuedCalls();
      refuseExcess();
    });
  }

  /** Slots that the rank can count on: its floor, or what more urgent ranks leave. */
  function estimateRankSlots(rankId: RankId): number {
    const ranks = listRanks();
    const rank = ranks.find(({ id }) => id === rankId);
    if (rank === undefined) return 0;
    const budget = findBudget();
    const usedAbove = ranks
      .filter(({ order }) => order < rank.order)
      .reduce((sum, { id }) => sum + usage.rate(id), 0);
    const floorsBelow = ranks
      .filter(({ id, order }) => order > rank.order && (queues.get(id)?.count() ?? 0) > 0)
      .reduce((sum, { floorShare }) => sum + floorShare * budget, 0);
    return Math.max(rank.floorShare * budget, budget - usedAbove - floorsBelow);
  }

  function estimateWait(rankId: RankId, workspaceId: WorkspaceId): number {
    const queue = findQueue(rankId);
    const hasRoom = running < findBudget() && waiting === 0;
    const announced = announcedMs.get(`${rankId} ${workspaceId}`);
    if (hasRoom && announced === 0) return 0;
    const rivals = queue.listWaiting().filter((id) => id !== workspaceId);
    const weight = findWeight(workspaceId);
    const rivalWeight = rivals.reduce((sum, id) => sum + findWeight(id), 0);
    const share = weight / (weight + rivalWeight);
    const aheadMs = queue.waitingMs(workspaceId) + announced;
    const slots = estimateRankSlots(rankId) * share;
    return slots > 0 ? aheadMs / slots : Infinity;
  }

  function listDemand(): readonly SlotDemand[] {
    return listRanks().flatMap(({ id: rankId }) => {
      const queue = findQueue(rankId);
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
      announcedMs.add(key, costMs);
      let isWithdrawn = false;
      return () => {
        if (isWithdrawn) return;
        isWithdrawn = true;
        announcedMs.add(key, -costMs);
      };
    },
    estimateWait,
    listDemand,
    startQueuedCalls,
    running: () => running,
    waiting: () => waiting,
  };
}

/** Sums by key; a key whose sum falls to 0 is forgotten. */
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
