import TinyQueue from 'tinyqueue';

/**
 * Execution slots of a stand-in, granted by priority and then in order of arrival.
 *
 * @internal
 */
export interface WorkSlots {
  /**
   * Waits for a slot. Resolves to false when the queue is full or the signal aborts; a lower
   * number is a higher priority.
   */
  acquire(priority: number, signal: AbortSignal): Promise<boolean>;
  /** Returns a slot and grants it to the next waiter. */
  release(): void;
  /** Returns the number of slots in use. */
  readonly running: () => number;
  /** Returns the number of waiters. */
  readonly queued: () => number;
}

interface Waiter {
  readonly priority: number;
  readonly order: number;
  isWaiting: boolean;
  readonly settle: (isGranted: boolean) => void;
}

/**
 * Creates execution slots, all of them free.
 *
 * @param concurrency - number of slots
 * @param maxQueued - maximum number of waiters
 * @returns the slots
 * @internal
 */
export function createWorkSlots(concurrency: number, maxQueued: number): WorkSlots {
  const waiters = new TinyQueue<Waiter>([], (a, b) => a.priority - b.priority || a.order - b.order);
  let running = 0;
  let queued = 0;
  let nextOrder = 0;

  function grantNext(): void {
    while (running < concurrency) {
      const waiter = waiters.pop();
      if (waiter === undefined) return;
      if (!waiter.isWaiting) continue;
      waiter.isWaiting = false;
      queued -= 1;
      running += 1;
      waiter.settle(true);
    }
  }

  return {
    acquire(priority, signal) {
      if (running < concurrency) {
        running += 1;
        return Promise.resolve(true);
      }
      if (queued >= maxQueued || signal.aborted) return Promise.resolve(false);
      return new Promise((resolve) => {
        const waiter = { priority, order: nextOrder, isWaiting: true, settle: resolve };
        nextOrder += 1;
        queued += 1;
        waiters.push(waiter);
        signal.addEventListener('abort', () => {
          if (!waiter.isWaiting) return;
          waiter.isWaiting = false;
          queued -= 1;
          resolve(false);
        });
      });
    },
    release() {
      running -= 1;
      grantNext();
    },
    running: () => running,
    queued: () => queued,
  };
}
