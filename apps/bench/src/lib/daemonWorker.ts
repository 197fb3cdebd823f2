import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { monitorEventLoopDelay, PerformanceObserver } from 'node:perf_hooks';
import { parentPort, workerData } from 'node:worker_threads';

import { createDaemon, type Daemon } from '@endiveferry/daemon';
import type { ProcessSettings } from '@endiveferry/settings';
import { setLogWriter } from '@endiveferry/telemetry';

import type { WorkerReply, WorkerRequest } from './startDaemonWorker.js';

const port = parentPort;
if (port === null) throw new Error('this file runs as a worker only');
setLogWriter(() => undefined);

const { settings } = workerData as { settings: readonly ProcessSettings[] };
const daemons: Daemon[] = [];
for (const each of settings) {
  daemons.push(await createDaemon({ settings: each, readinessGraceMs: 100 }));
}
await Promise.all(daemons.map((daemon) => daemon.waitUntilReady()));

/** Node offers no call for this; a new context shows the one that the flag adds. */
setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const collections = { count: 0, totalMs: 0, longestMs: 0 };
new PerformanceObserver((list) => {
  for (const { duration } of list.getEntries()) {
    collections.count += 1;
    collections.totalMs += duration;
    collections.longestMs = Math.max(collections.longestMs, duration);
  }
}).observe({ entryTypes: ['gc'] });
const loopDelay = monitorEventLoopDelay({ resolution: 1 });
loopDelay.enable();

/** Stands still as a stopped process does: no timer runs, and no byte is read. */
function pause(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

const handlers: {
  [Kind in WorkerRequest['kind']]: (
    request: Extract<WorkerRequest, { kind: Kind }>,
  ) => WorkerReply | Promise<WorkerReply>;
} = {
  measure() {
    const { heapUsed, external } = process.memoryUsage();
    return {
      kind: 'measured',
      activeMs: performance.eventLoopUtilization().active,
      memoryBytes: heapUsed + external,
      collections: { ...collections },
      loopDelayP99Ms: loopDelay.percentile(99) / NANOSECONDS_PER_MILLISECOND,
      statuses: daemons.map((daemon) => daemon.status()),
    };
  },
  collect() {
    collectGarbage();
    return { kind: 'done' };
  },
  pause({ durationMs }) {
    pause(durationMs);
    return { kind: 'done' };
  },
  async close() {
    await Promise.all(daemons.map((daemon) => daemon.kill()));
    return { kind: 'done' };
  },
};

port.on('message', ({ id, request }: { id: number; request: WorkerRequest }) => {
  const handle = handlers[request.kind] as (
    request: WorkerRequest,
  ) => WorkerReply | Promise<WorkerReply>;
  void Promise.resolve(handle(request)).then((reply) => port.postMessage({ id, reply }));
});
port.postMessage({ id: 0, reply: { kind: 'started', addresses: daemons.map((d) => d.addresses) } });
