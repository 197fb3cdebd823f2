import type { Clock } from '@endiveferry/base';

/** Silence of all servers after which paths are checked, in milliseconds. */
const MIN_SILENCE_MS = 300;
/** The same after checks that found the paths intact, in milliseconds. */
const MAX_SILENCE_MS = 2_400;
const CHECK_INTERVAL_MS = 100;

/** Notices that no server responds at all. @internal */
export interface SilenceMonitor {
  /** Records that a call waits for a server; returns a function that ends this. */
  startCall(address: string): () => void;
  /** Records that data arrived from any server. */
  readonly recordReceived: () => void;
}

/** Options of {@link createSilenceMonitor}. @internal */
export interface SilenceMonitorOptions {
  readonly clock: Clock;
  /** Checks the paths to the servers that calls wait for; resolves to whether they are intact. */
  readonly checkPaths: (addresses: readonly string[]) => Promise<boolean>;
}

/**
 * Creates a monitor without calls. One server may be silent for seconds while it works; a host with
 * calls hears from some server all the time, unless it has lost its paths to them.
 *
 * @param options - see {@link SilenceMonitorOptions}
 * @returns the monitor
 * @internal
 */
export function createSilenceMonitor({ clock, checkPaths }: SilenceMonitorOptions): SilenceMonitor {
  const waiting = new Map<string, number>();
  let receivedAt = -Infinity;
  let waitingSince = 0;
  let silenceMs = MIN_SILENCE_MS;
  let isRunning = false;

  function scheduleCheck(): void {
    clock.schedule(CHECK_INTERVAL_MS, () => void runCheck());
  }

  async function runCheck(): Promise<void> {
    if (waiting.size === 0) {
      isRunning = false;
      return;
    }
    if (clock.now() - Math.max(receivedAt, waitingSince) >= silenceMs) {
      const checkedAt = clock.now();
      const isIntact = await checkPaths([...waiting.keys()]);
      silenceMs = isIntact ? Math.min(MAX_SILENCE_MS, silenceMs * 2) : MIN_SILENCE_MS;
      waitingSince = Math.max(waitingSince, checkedAt);
    }
    scheduleCheck();
  }

  return {
    startCall(address) {
      if (waiting.size === 0) waitingSince = clock.now();
      waiting.set(address, (waiting.get(address) ?? 0) + 1);
      if (!isRunning) scheduleCheck();
      isRunning = true;
      return () => {
        const count = (waiting.get(address) ?? 1) - 1;
        if (count === 0) waiting.delete(address);
        else waiting.set(address, count);
      };
    },
    recordReceived() {
      receivedAt = clock.now();
      silenceMs = MIN_SILENCE_MS;
    },
  };
}
