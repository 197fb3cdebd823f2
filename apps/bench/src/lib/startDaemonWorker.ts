import { Worker } from 'node:worker_threads';

import type { Daemon, HostStatus } from '@endiveferry/daemon';
import type { ProcessSettings } from '@endiveferry/settings';

/** Request to a daemon worker. @internal */
export type WorkerRequest =
  | { readonly kind: 'measure' }
  | { readonly kind: 'collect' }
  | { readonly kind: 'pause'; readonly durationMs: number }
  | { readonly kind: 'close' };

/** Resources that the daemons of a worker have used since its start. @public */
export interface WorkerMeasurement {
  readonly kind: 'measured';
  /** Time that the event loop of the worker was active, in milliseconds. */
  readonly activeMs: number;
  /** Heap and external memory in use. */
  readonly memoryBytes: number;
  /** Number and durations of garbage collections. */
  readonly collections: {
    readonly count: number;
    readonly totalMs: number;
    readonly longestMs: number;
  };
  /** 99th percentile of the event loop delay, in milliseconds. */
  readonly loopDelayP99Ms: number;
  /** Current status of each daemon. */
  readonly statuses: readonly HostStatus[];
}

/** Reply of a daemon worker. @internal */
export type WorkerReply =
  | WorkerMeasurement
  | { readonly kind: 'started'; readonly addresses: readonly Daemon['addresses'][] }
  | { readonly kind: 'done' };

/**
 * Daemons on a separate thread, so that their resource use is measured apart from that of the load
 * generator.
 *
 * @public
 */
export interface DaemonWorker {
  readonly addresses: readonly Daemon['addresses'][];
  measure(): Promise<WorkerMeasurement>;
  /** Runs a garbage collection. */
  collectGarbage(): Promise<void>;
  /** Blocks the event loop of the daemons for a time, as suspending their process does. */
  blockEventLoop(durationMs: number): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts daemons on a separate thread and waits until they are ready.
 *
 * @param settings - the settings of each daemon
 * @returns the worker
 * @throws Error when a daemon does not start
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

  function sendRequest(request: WorkerRequest): Promise<WorkerReply> {
    const id = nextId;
    nextId += 1;
    const reply = waitForReply(id);
    worker.postMessage({ id, request });
    return reply;
  }

  // Each request adds an error listener, which would exceed the default limit.
  worker.setMaxListeners(0);
  worker.on('message', ({ id, reply }: { id: number; reply: WorkerReply }) => {
    pending.get(id)?.(reply);
    pending.delete(id);
  });
  const started = await waitForReply(0);
  if (started.kind !== 'started') throw new Error('the worker did not report its start');

  return {
    addresses: started.addresses,
    async measure() {
      const reply = await sendRequest({ kind: 'measure' });
      if (reply.kind !== 'measured') throw new Error('the worker did not report a measurement');
      return reply;
    },
    async collectGarbage() {
      await sendRequest({ kind: 'collect' });
    },
    async blockEventLoop(durationMs) {
      await sendRequest({ kind: 'pause', durationMs });
    },
    async close() {
      await sendRequest({ kind: 'close' });
      await worker.terminate();
    },
  };
}
