import type { Clock } from '@endiveferry/base';

/**
 * Interval of scans while pieces are waiting, in milliseconds: replicas that back off or lack memory
 * become usable again without an event.
 */
const RETRY_MS = 30;
/** Largest share of this process's time that scans may take. */
const MAX_TIME_SHARE = 0.25;

/** Schedules the scans of a dispatcher's queue. @internal */
export interface ScanScheduler {
  /** Scans now, or as soon as the pause after the last scan has ended. */
  request(): void;
}

/**
 * Creates a scheduler. Scans get longer with the queue, and events that ask for one more frequent;
 * without pauses a dispatcher under overload would have no time left to answer.
 *
 * @param clock - schedules scans and measures them
 * @param scan - scans the queue; returns whether pieces are still waiting
 * @returns the scheduler
 * @internal
 */
export function createScanScheduler(clock: Clock, scan: () => boolean): ScanScheduler {
  let pausedUntil = -Infinity;
  let isScanning = false;
  let scheduled: { readonly at: number; readonly cancel: () => void } | undefined;

  function schedule(at: number): void {
    if (scheduled !== undefined && scheduled.at <= at) return;
    scheduled?.cancel();
    const cancel = clock.schedule(Math.max(0, at - clock.now()), () => {
      scheduled = undefined;
      runScan();
    });
    scheduled = { at, cancel };
  }

  function runScan(): void {
    const startedAt = clock.now();
    isScanning = true;
    const isWaiting = scan();
    isScanning = false;
    const endedAt = clock.now();
    pausedUntil = endedAt + (endedAt - startedAt) * (1 / MAX_TIME_SHARE - 1);
    if (isWaiting) schedule(Math.max(pausedUntil, endedAt + RETRY_MS));
  }

  return {
    request() {
      // Groups that expire in a scan free results, which is an event.
      if (isScanning) return;
      if (clock.now() >= pausedUntil) runScan();
      else schedule(pausedUntil);
    },
  };
}
