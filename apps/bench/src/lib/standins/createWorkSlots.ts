import TinyQueue from 'tinyqueue';

/**
 * The places in which a stand-in works at once, given by priority and then by arrival.
 *
 * @internal
 */
export interface WorkSlots {
  /** Waits for a place; false when the queue is full or the wait was given up. */
  acquire(priority: number, signal: AbortSignal): Promise<boolean>;
  release(): void;
  readonly running: () => number;
  readonly queued: () => number;
}

interface Waiter {
  readonly priority: number;
  readonly order: number;
  isWaiting: boolean;
  readonly finish: (isGranted: boolean) => void;
}

/**
 * Creates places.
 *
 * @param concurrency - how many there are
 * @param maxQueued - how many may wait
 * @returns the places
 * @internal
 */
export function createWorkSlots(concurrency: number, maxQueued: number): WorkSlots {
  const waiters = new TinyQueue<Waiter>([], (a, b) => a.priority - b.priority || a.order - b.order);
  let running = 0;
  let queued = 0;
  let nextOrder = 0;

  function startNext(): void {
    while (running < concurrency) {
      const waiter = waiters.pop();
      if (waiter === undefined) return;
      if (!waiter.isWaiting) continue;
      waiter.isWaiting = false;
      queued -= 1;
      running += 1;
      waiter.finish(true);
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
        const waiter = { priority, order: nextOrder, isWaiting: true, finish: resolve };
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
      startNext();
    },
    running: () => running,
    queued: () => queued,
  };
}
