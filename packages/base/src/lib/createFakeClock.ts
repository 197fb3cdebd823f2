import type { Clock } from './clock.js';

/**
 * A clock that moves only when told to.
 *
 * @public
 */
export interface FakeClock extends Clock {
  /** Moves time forward by `durationMs` milliseconds and runs the timers that fall due, in order. */
  advance(durationMs: number): Promise<void>;
  /** Moves time forward without running timers, as a paused process sees it. */
  jump(durationMs: number): void;
}

interface Timer {
  readonly dueAt: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Lets promise continuations that the last timer started run before the next timer does. */
async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
}

/**
 * Creates a clock for tests.
 *
 * @param startWallTimeMs - the first wall-clock time, in milliseconds since the Unix epoch
 * @returns a clock that stands still until advanced
 * @public
 */
export function createFakeClock(startWallTimeMs = 1_700_000_000_000): FakeClock {
  let elapsedMs = 0;
  let nextOrder = 0;
  const timers = new Set<Timer>();

  function findNextTimer(until: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of timers) {
      if (timer.dueAt > until) continue;
      const isEarlier =
        next === undefined ||
        timer.dueAt < next.dueAt ||
        (timer.dueAt === next.dueAt && timer.order < next.order);
      if (isEarlier) next = timer;
    }
    return next;
  }

  return {
    now: () => elapsedMs,
    wallTime: () => startWallTimeMs + elapsedMs,
    schedule(delayMs, callback) {
      const timer = { dueAt: elapsedMs + Math.max(0, delayMs), order: nextOrder, callback };
      nextOrder += 1;
      timers.add(timer);
      return () => timers.delete(timer);
    },
    async advance(durationMs) {
      const until = elapsedMs + durationMs;
      await flushMicrotasks();
      for (let timer = findNextTimer(until); timer; timer = findNextTimer(until)) {
        timers.delete(timer);
        elapsedMs = Math.max(elapsedMs, timer.dueAt);
        timer.callback();
        await flushMicrotasks();
      }
      elapsedMs = until;
    },
    jump(durationMs) {
      elapsedMs += durationMs;
    },
  };
}
