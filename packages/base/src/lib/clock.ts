/**
 * A source of time and timers, passed in wherever time matters so that tests can drive it.
 *
 * @public
 */
export interface Clock {
  /** Monotonic time, in milliseconds from an arbitrary origin. */
  now(): number;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  wallTime(): number;
  /** Runs `callback` once after `delayMs` milliseconds; the result cancels it. */
  schedule(delayMs: number, callback: () => void): () => void;
}

/**
 * Creates the clock of the running process.
 *
 * @returns a clock over the process's monotonic and wall-clock time
 * @public
 */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule(delayMs, callback) {
      const timer = setTimeout(callback, delayMs);
      return () => clearTimeout(timer);
    },
  };
}

/**
 * The reason to abort with where a wait or a task just is no longer needed. Without one, each abort
 * builds an exception with a stack trace that nobody reads.
 *
 * @internal
 */
export const NO_LONGER_NEEDED = 'no longer needed';

/**
 * Looks at a signal again after an await; the compiler would hold on to what an earlier look found.
 *
 * @param signal - the signal
 * @returns whether it has aborted by now
 * @internal
 */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/**
 * Waits on a clock.
 *
 * @param clock - the clock to wait on
 * @param delayMs - how long, in milliseconds
 * @param signal - ends the wait early when aborted
 * @returns a promise that resolves when the time is over or the signal aborts
 * @public
 */
export function waitFor(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const finish = () => {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const cancel = clock.schedule(delayMs, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
