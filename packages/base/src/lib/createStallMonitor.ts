import { waitFor, type Clock } from './clock.js';
import type { Task } from './createSupervisor.js';

const CHECK_INTERVAL_MS = 200;

/**
 * Creates a task that detects event loop stalls: times when the process was stopped, swapped out or
 * starved of CPU time.
 *
 * @param clock - a clock that keeps running during a stall
 * @param minStallMs - shortest stall that is reported, in milliseconds
 * @param onStall - called after each stall with its duration, in milliseconds
 * @returns the task
 * @public
 */
export function createStallMonitor(
  clock: Clock,
  minStallMs: number,
  onStall: (durationMs: number) => void,
): Task {
  return async (signal) => {
    while (!signal.aborted) {
      const waitStartedAt = clock.now();
      await waitFor(clock, CHECK_INTERVAL_MS, signal);
      const stallMs = clock.now() - waitStartedAt - CHECK_INTERVAL_MS;
      if (stallMs >= minStallMs) onStall(stallMs);
    }
  };
}
