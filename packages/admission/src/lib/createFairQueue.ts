import type { WorkspaceId } from '@endiveferry/base';
import TinyQueue from 'tinyqueue';

import type { QueueEntry } from './QueueEntry.js';

/**
 * Queue of the waiting calls of one rank.
 *
 * @internal
 */
export interface FairQueue {
  push(entry: QueueEntry): void;
  /**
   * Removes and returns the next call: fair between workspaces by cost and weight, then by latest
   * start. Calls past their latest start are passed to `onExpired`; their workspace is not charged.
   */
  pop(now: number, onExpired: (entry: QueueEntry) => void): QueueEntry | undefined;
  /** Subtracts an entry that was rejected or cancelled from the totals. */
  remove(entry: QueueEntry): void;
  /** Finds the call to shed first: the one due last of the workspace most over its share. */
  findVictim(): QueueEntry | undefined;
  /** Returns the number of waiting calls. */
  count(): number;
  /** Returns the expected service time of a workspace's waiting calls, in milliseconds. */
  waitingMs(workspaceId: WorkspaceId): number;
  /** Returns the number of a workspace's waiting calls. */
  waitingCount(workspaceId: WorkspaceId): number;
  /** Lists the workspaces with waiting calls. */
  listWaiting(): readonly WorkspaceId[];
}

interface WorkspaceQueue {
  readonly entries: TinyQueue<QueueEntry>;
  count: number;
  waitingMs: number;
  /** Virtual time at which the calls dispatched so far finish, given the workspace's weight. */
  finishTag: number;
}

/**
 * Creates a queue with start-time fair queueing between workspaces. An idle workspace gains no
 * credit, and a workspace is not charged later for service that no other one wanted at the time.
 *
 * @param getWeight - returns a workspace's weight
 * @returns an empty queue
 * @internal
 */
export function createFairQueue(getWeight: (workspaceId: WorkspaceId) => number): FairQueue {
  const workspaces = new Map<WorkspaceId, WorkspaceQueue>();
  let virtualTime = 0;
  let total = 0;

  function getOrCreateQueue(workspaceId: WorkspaceId): WorkspaceQueue {
    let queue = workspaces.get(workspaceId);
    if (queue === undefined) {
      const entries = new TinyQueue<QueueEntry>([], (a, b) => a.latestStartAt - b.latestStartAt);
      queue = { entries, count: 0, waitingMs: 0, finishTag: 0 };
      workspaces.set(workspaceId, queue);
    }
    return queue;
  }

  function recordRemoval(queue: WorkspaceQueue, entry: QueueEntry): void {
    queue.count -= 1;
    queue.waitingMs -= entry.costMs;
    total -= 1;
  }

  /** Pops the next waiting entry; rejected and cancelled ones stay in the heap until then. */
  function popWaiting(
    queue: WorkspaceQueue,
    now: number,
    onExpired: (entry: QueueEntry) => void,
  ): QueueEntry | undefined {
    for (let entry = queue.entries.pop(); entry; entry = queue.entries.pop()) {
      if (!entry.isWaiting) continue;
      recordRemoval(queue, entry);
      if (now <= entry.latestStartAt) return entry;
      onExpired(entry);
    }
    return undefined;
  }

  function findNextWorkspace(): [WorkspaceId, WorkspaceQueue] | undefined {
    let next: [WorkspaceId, WorkspaceQueue] | undefined;
    let nextTag = Infinity;
    for (const [id, queue] of workspaces) {
      if (queue.count === 0) continue;
      const startTag = Math.max(virtualTime, queue.finishTag);
      if (startTag >= nextTag) continue;
      next = [id, queue];
      nextTag = startTag;
    }
    return next;
  }

  return {
    push(entry) {
      const queue = getOrCreateQueue(entry.workspaceId);
      queue.entries.push(entry);
      queue.count += 1;
      queue.waitingMs += entry.costMs;
      total += 1;
    },
    pop(now, onExpired) {
      for (let next = findNextWorkspace(); next; next = findNextWorkspace()) {
        const [workspaceId, queue] = next;
        const entry = popWaiting(queue, now, onExpired);
        if (entry === undefined) continue;
        virtualTime = Math.max(virtualTime, queue.finishTag);
        queue.finishTag = virtualTime + entry.costMs / getWeight(workspaceId);
        return entry;
      }
      return undefined;
    },
    remove(entry) {
      recordRemoval(getOrCreateQueue(entry.workspaceId), entry);
    },
    findVictim() {
      let worst: WorkspaceQueue | undefined;
      let worstShare = -1;
      for (const [id, queue] of workspaces) {
        const share = queue.waitingMs / getWeight(id);
        if (queue.count === 0 || share <= worstShare) continue;
        worst = queue;
        worstShare = share;
      }
      const waiting = worst?.entries.data.filter((entry) => entry.isWaiting) ?? [];
      return waiting.reduce<QueueEntry | undefined>(
        (last, entry) =>
          last === undefined || entry.latestStartAt >= last.latestStartAt ? entry : last,
        undefined,
      );
    },
    count: () => total,
    waitingMs: (workspaceId) => workspaces.get(workspaceId)?.waitingMs ?? 0,
    waitingCount: (workspaceId) => workspaces.get(workspaceId)?.count ?? 0,
    listWaiting: () => [...workspaces].filter(([, queue]) => queue.count > 0).map(([id]) => id),
  };
}
