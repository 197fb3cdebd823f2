import { Worker } from 'node:worker_threads';

import type { Daemon, HostStatus } from '@endiveferry/daemon';
import type { ProcessSettings } from '@endiveferry/settings';

/** What a worker is asked to do. @internal */
export type WorkerRequest =
  | { readonly kind: 'measure' }
  | { readonly kind: 'collect' }
  | { readonly kind: 'pause'; readonly durationMs: number }
  | { readonly kind: 'close' };

/** What daemons in a worker used so far. @public */
export interface WorkerMeasurement {
  readonly kind: 'measured';
  /** Time that the worker's thread was busy, in milliseconds. */
  readonly activeMs: number;
  readonly memoryBytes: number;
  /** Garbage collections so far. */
  readonly collections: {
    readonly count: number;
    readonly totalMs: number;
    readonly longestMs: number;
  };
  readonly loopDelayP99Ms: number;
  readonly statuses: readonly HostStatus[];
}

/** What a worker answers. @internal */
export type WorkerReply =
  | WorkerMeasurement
  | { readonly kind: 'started'; readonly addresses: readonly Daemon['addresses'][] }
  | { readonly kind: 'done' };

/**
 * Daemons on a thread of their own, so that what they use can be told from what the load uses.
 *
 * @public
 */
export interface DaemonWorker {
  readonly addresses: readonly Daemon['addresses'][];
  measure(): Promise<WorkerMeasurement>;
  /** Frees memory that nothing uses any more. */
  collect(): Promise<void>;
  /** Stops the daemons' thread for a while, as a paused process. */
  pause(durationMs: number): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts daemons on a thread of their own and waits until they are ready.
 *
 * @param settings - the settings of each daemon
 * @returns the worker
 * @public
 */
export async function startDaemonWorker(
  settings: readonly ProcessSettings[],
): Promise<DaemonWorker> {
  const worker = new Worker(new URL('./daemonWorker.js', import.meta.url), {
    workerData: { settings },
  });
  const pending = new Map<number, (reply: WorkerReply) => void>();
  let nextId = 1;

  function waitForReply(id: number): Promise<WorkerReply> {
    return new Promise((resolve, reject) => {
      pending.set(id, resolve);
      worker.once('error', reject);
    });
  }

  function ask(request: WorkerRequest): Promise<WorkerReply> {
    const id = nextId;
    nextId += 1;
    const reply = waitForReply(id);
    worker.postMessage({ id, request });
    return reply;
  }

  worker.setMaxListeners(0);
  worker.on('message', ({ id, reply }: { id: number; reply: WorkerReply }) => {
    pending.get(id)?.(reply);
    pending.delete(id);
  });
  const started = await waitForReply(0);
  if (started.kind !== 'started') throw new Error('the worker did not start');

  return {
    addresses: started.addresses,
    async measure() {
      const reply = await ask({ kind: 'measure' });
      if (reply.kind !== 'measured') throw new Error('the worker did not measure');
      return reply;
    },
    async collect() {
      await ask({ kind: 'collect' });
    },
    async pause(durationMs) {
      await ask({ kind: 'pause', durationMs });
    },
    async close() {
      await ask({ kind: 'close' });
      await worker.terminate();
    },
  };
}
