/**
 * A source of time and timers, injected wherever time matters so that tests can control it.
 *
 * @public
 */
export interface Clock {
  /** Monotonic time, in milliseconds from an arbitrary origin. */
  now(): number;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  wallTime(): number;
  /**
   * Runs `callback` once after `delayMs` milliseconds, at most {@link MAX_TIMER_MS}; the returned
   * function cancels the timer.
   */
  schedule(delayMs: number, callback: () => void): () => void;
}

/**
 * Longest delay of a timer, in milliseconds. The runtime turns longer ones into one millisecond.
 *
 * @public
 */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Creates a clock that uses the time and the timers of the process.
 *
 * @returns the clock
 * @public
 */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule(delayMs, callback) {
      const timer = setTimeout(callback, Math.min(delayMs, MAX_TIMER_MS));
      return () => clearTimeout(timer);
    },
  };
}

/**
 * Abort reason for waits and tasks whose result is no longer needed. An abort without a reason
 * creates an exception with a stack trace, which no code reads.
 *
 * @internal
 */
export const NO_LONGER_NEEDED = 'no longer needed';

/**
 * Returns whether a signal has aborted. Use it to check again after an await, where the compiler
 * would still apply the narrowing from an earlier check of `signal.aborted`.
 *
 * @param signal - the signal to check
 * @returns whether the signal has aborted
 * @internal
 */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}

/**
 * Waits for a duration measured by a clock.
 *
 * @param clock - the clock that schedules the timer
 * @param delayMs - duration in milliseconds
 * @param signal - ends the wait early when aborted
 * @returns a promise that resolves when the duration has elapsed or the signal aborts
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
