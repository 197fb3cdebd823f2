import type { Clock } from '@endiveferry/base';

/** Shortest time between two announcements, in milliseconds, so that a series of changes shares one. */
const MIN_INTERVAL_MS = 100;

/**
 * Creates a function that announces changes to other hosts soon, however many there are.
 *
 * @param clock - times the announcements
 * @param announce - sends the current state to other hosts
 * @returns the function to call after each change
 * @public
 */
export function createAnnouncer(clock: Clock, announce: () => void): () => void {
  let lastAt = -Infinity;
  let isScheduled = false;
  return () => {
    if (isScheduled) return;
    isScheduled = true;
    clock.schedule(Math.max(0, lastAt + MIN_INTERVAL_MS - clock.now()), () => {
      isScheduled = false;
      lastAt = clock.now();
      announce();
    });
  };
}
