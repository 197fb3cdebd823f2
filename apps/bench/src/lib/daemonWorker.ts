import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { monitorEventLoopDelay, PerformanceObserver } from 'node:perf_hooks';
import { parentPort, workerData } from 'node:worker_threads';

import { createDaemon, type Daemon } from '@endiveferry/daemon';
import type { ProcessSettings } from '@endiveferry/settings';
import { setLogWriter } from '@endiveferry/telemetry';

import type { WorkerReply, WorkerRequest } from './startDaemonWorker.js';

const port = parentPort;
if (port === null) throw new Error('this module must run in a worker thread');
setLogWriter(() => undefined);

const { settings } = workerData as { settings: readonly ProcessSettings[] };
const daemons: Daemon[] = [];
for (const daemonSettings of settings) {
  daemons.push(await createDaemon({ settings: daemonSettings, readinessGraceMs: 100 }));
}
await Promise.all(daemons.map((daemon) => daemon.waitUntilReady()));

/**
 * Node.js exposes no API that starts a garbage collection. The flag adds a `gc` function to
 * contexts that are created after it is set.
 */
setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const gcStats = { count: 0, totalMs: 0, longestMs: 0 };
new PerformanceObserver((list) => {
  for (const { duration } of list.getEntries()) {
    gcStats.count += 1;
    gcStats.totalMs += duration;
    gcStats.longestMs = Math.max(gcStats.longestMs, duration);
  }
}).observe({ entryTypes: ['gc'] });
const eventLoopDelay = monitorEventLoopDelay({ resolution: 1 });
eventLoopDelay.enable();

/**
 * Blocks the event loop, as suspending the process does: no timer fires and no data is read from
 * sockets.
 */
function blockEventLoop(durationMs: number): void {
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
      collections: { ...gcStats },
      loopDelayP99Ms: eventLoopDelay.percentile(99) / NANOSECONDS_PER_MILLISECOND,
      statuses: daemons.map((daemon) => daemon.status()),
    };
  },
  collect() {
    collectGarbage();
    return { kind: 'done' };
  },
  pause({ durationMs }) {
    blockEventLoop(durationMs);
    return { kind: 'done' };
  },
  async close() {
    await Promise.all(daemons.map((daemon) => daemon.kill()));
    return { kind: 'done' };
  },
};

port.on('message', ({ id, request }: { id: number; request: WorkerRequest }) => {
  const handler = handlers[request.kind] as (
    request: WorkerRequest,
  ) => WorkerReply | Promise<WorkerReply>;
  void Promise.resolve(handler(request)).then((reply) => port.postMessage({ id, reply }));
});
port.postMessage({ id: 0, reply: { kind: 'started', addresses: daemons.map((d) => d.addresses) } });
