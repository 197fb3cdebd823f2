import { waitFor, type Clock } from './clock.js';
import type { Task } from './createSupervisor.js';

const LOOK_INTERVAL_MS = 200;

/**
 * Creates a task that notices when the process stood still, be it stopped, swapped out or starved.
 *
 * @param clock - the clock that goes on meanwhile
 * @param shortestMs - the shortest pause that is told, in milliseconds
 * @param onPause - called with the length of the pause, in milliseconds, after it ended
 * @returns the task
 * @public
 */
export function createStallMonitor(
  clock: Clock,
  shortestMs: number,
  onPause: (durationMs: number) => void,
): Task {
  return async (signal) => {
    while (!signal.aborted) {
      const before = clock.now();
      await waitFor(clock, LOOK_INTERVAL_MS, signal);
      const pausedMs = clock.now() - before - LOOK_INTERVAL_MS;
      if (pausedMs >= shortestMs) onPause(pausedMs);
    }
  };
}
