// A host is stopped as planned while requests wait at busy replicas. Checks that each request that it
// has read gets an answer, unless a replica was at work on it near the end of the grace.
import { buildConfiguration, buildEntry, createId, send, streamRoute } from '../fixtures.mjs';
import { BOUNDS, findAddresses, startHosts, waitMs } from '../hosts.mjs';
import { hasTrouble, runCase } from '../record.mjs';
import { startReplica } from '../replica.mjs';
import { startStore } from '../store.mjs';

const REPLICAS = 2;
const SLOTS = 16;
/** The longest streams of the small deployments. */
const EVENTS = 224;
const EVENT_MS = 20;
/** Requests a second, all the time: more than the replicas can run. */
const PER_S = 12;
const LOAD_MS = 21_000;
/** Time after which the platform sends no new connections to a host that is not ready. */
const SWITCH_MS = 2_000;

await runCase(process.argv[2], async (record) => {
  const [ip, ...ips] = await findAddresses(4);
  const store = await startStore(ip);
  const runs = new Map();
  const arrived = new Set();
  for (let index = 0; index < REPLICAS; index += 1) {
    const id = `i-pool-${index}`;
    const { address } = await startReplica(ip, id, {
      slots: SLOTS,
      workMs: 86,
      events: EVENTS,
      eventMs: EVENT_MS,
      onChange(request, state) {
        record(`${id}: ${request} ${state}`);
        if (state === 'arrived') arrived.add(request);
        if (state === 'runs') runs.set(request, performance.now());
      },
    });
    store.put(`servers/${id}`, buildEntry('pool', address, SLOTS));
  }
  store.put('op/config', buildConfiguration([streamRoute], SLOTS));
  const { hosts, stopAll } = await startHosts(ips, store.address);
  const [host] = hosts;
  const ends = {};
  const lost = [];
  let stopAt = Infinity;

  async function call(target) {
    const id = createId();
    const sentAt = performance.now();
    const end = await send(target.callers, { id, path: '/plan/a' });
    const endedAt = performance.now();
    const name = `${target === host ? 'stopped' : 'other'} ${end}`;
    ends[name] = (ends[name] ?? 0) + 1;
    if (end === '200') return;
    const durationMs = Math.round(endedAt - sentAt);
    const wasReached = durationMs >= streamRoute.timeout_ms;
    const hasRun = runs.has(id);
    record(
      `caller: ${id} at ${target.name} ended with ${end} after ${durationMs} ms; at a replica: ${arrived.has(id)}, at work: ${hasRun}`,
    );
    const isCut = !/^\d/.test(end);
    if (isCut && target === host && arrived.has(id) && !hasRun && !wasReached) lost.push(id);
  }

  try {
    await waitMs(2_000);
    const startedAt = performance.now();
    const pending = [];
    for (let sent = 0; performance.now() - startedAt < LOAD_MS; sent += 1) {
      const now = performance.now();
      if (hasTrouble && stopAt === Infinity && now - startedAt > LOAD_MS * 0.75) {
        stopAt = now;
        record('SIGTERM');
        host.kill('SIGTERM');
        void host.exited.then(() =>
          record(`the host has ended after ${Math.round(performance.now() - stopAt)} ms`),
        );
      }
      const usable = now > stopAt + SWITCH_MS ? hosts.slice(1) : hosts;
      pending.push(call(usable[sent % usable.length]));
      await waitMs(1_000 / PER_S);
    }
    if (hasTrouble) await Promise.race([host.exited, waitMs(BOUNDS.grace_s * 1_000)]);
    await Promise.race([Promise.all(pending), waitMs(20_000)]);
  } finally {
    await stopAll();
    store.close();
  }
  return {
    isBroken: lost.length > 0,
    summary: `ends: ${JSON.stringify(ends)}; ${lost.length} requests waited at a replica, which never began them, and ended without an answer`,
  };
});
