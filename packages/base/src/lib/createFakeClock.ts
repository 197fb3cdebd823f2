import type { Clock } from './clock.js';

/**
 * A clock for tests whose time changes only through {@link FakeClock.advance} and
 * {@link FakeClock.jump}.
 *
 * @public
 */
export interface FakeClock extends Clock {
  /** Advances time by `durationMs` milliseconds and runs the timers that become due, in order. */
  advance(durationMs: number): Promise<void>;
  /** Advances time by `durationMs` milliseconds without running timers, like a process stall. */
  jump(durationMs: number): void;
}

interface Timer {
  readonly dueAt: number;
  /** Position in the order of scheduling; breaks ties between equal due times. */
  readonly sequence: number;
  readonly callback: () => void;
}

/** Runs the promise continuations that a timer queued, so that they run before the next timer. */
async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
}

/**
 * Creates a fake clock.
 *
 * @param startWallTimeMs - initial wall-clock time, in milliseconds since the Unix epoch
 * @returns the clock
 * @public
 */
export function createFakeClock(startWallTimeMs = 1_700_000_000_000): FakeClock {
  let elapsedMs = 0;
  let nextSequence = 0;
  const timers = new Set<Timer>();

  function findNextTimer(until: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of timers) {
      if (timer.dueAt > until) continue;
      const isEarlier =
        next === undefined ||
        timer.dueAt < next.dueAt ||
        (timer.dueAt === next.dueAt && timer.sequence < next.sequence);
      if (isEarlier) next = timer;
    }
    return next;
  }

  return {
    now: () => elapsedMs,
    wallTime: () => startWallTimeMs + elapsedMs,
    schedule(delayMs, callback) {
      const timer = { dueAt: elapsedMs + Math.max(0, delayMs), sequence: nextSequence, callback };
      nextSequence += 1;
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
