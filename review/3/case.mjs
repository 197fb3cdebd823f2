// One caller sends one request with a malformed number of pieces, to a host that is not the dispatcher
// of the stage. Checks that the hosts go on serving their other callers.
import { Agent, request } from 'node:http';

import {
  bookRoute,
  buildConfiguration,
  buildEntry,
  createId,
  send,
  streamRoute,
} from '../fixtures.mjs';
import { findAddresses, startHosts, waitMs } from '../hosts.mjs';
import { hasTrouble, runCase } from '../record.mjs';
import { startReplica } from '../replica.mjs';
import { startStageReplica } from '../stageReplica.mjs';
import { startStore } from '../store.mjs';

const HOSTS = 3;
const OTHER_CALLERS = 8;
/** Time that a replica works on a request of another caller. */
const WORK_MS = 1_000;
/** The number of pieces of the stage: a sound one, and a malformed one. */
const SOUND_PIECES = '4';
const MALFORMED_PIECES = '1000000000';
/** Time for which the hosts are watched afterwards. */
const WATCH_MS = 8_000;
/** More requests than this that are cut off break the rule. */
const MAX_CUT = 3;

await runCase(process.argv[2], async (record) => {
  const [ip, ...ips] = await findAddresses(HOSTS + 1);
  const store = await startStore(ip);
  const states = new Map();
  for (const [index, service] of ['desk', 'desk', 'desk', 'pool', 'pool'].entries()) {
    const id = `i-${service}-${index}`;
    const { address } = await startReplica(ip, id, {
      slots: 64,
      workMs: WORK_MS,
      events: 20,
      eventMs: 20,
      onChange: (request, state) => states.set(request, state),
    });
    store.put(`servers/${id}`, buildEntry(service, address, 64));
  }
  for (let index = 0; index < 3; index += 1) {
    const id = `i-stock-${index}`;
    store.put(`servers/${id}`, buildEntry('stock', await startStageReplica(ip, id), 1));
  }
  const configuration = buildConfiguration([
    bookRoute,
    { ...streamRoute, phases: [{ service: 'stock', after: [], byte_count: 8_000 }] },
  ]);
  configuration.services.push({
    name: 'stock',
    health_path: '/healthz',
    max_conns: 360,
    protocol: 'h1',
    tls: false,
    segments: {
      slots: 1,
      queue: 2,
      batch: 10,
      call_ms: 240,
      item_ms: 20.4,
      headroom_mb: 11.6667,
      handle_ttl_s: 4,
      link_mbps: 10_000,
    },
  });
  store.put('op/config', configuration);
  const { hosts, stopAll } = await startHosts(ips, store.address);
  const ends = {};
  const cut = [];
  let isOver = false;
  let ended = 0;

  async function runOtherCaller(host) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let sent = 0; !isOver; sent += 1) {
      const id = createId();
      const end = await send(host.callers, { id, path: '/book/a', agent });
      ends[end] = (ends[end] ?? 0) + 1;
      if (end === '200') continue;
      record(
        `${host.name}: request ${id} ended with ${end}; at a replica: ${states.get(id) ?? 'no'}`,
      );
      if (/^\d/.test(end)) continue;
      if (states.has(id) && sent > 0) cut.push(id);
      return;
    }
  }

  async function sendPieces(host, pieces) {
    const id = createId();
    record(`${host.name}: a caller sends ${id} with Endiveferry-Segments: ${pieces}`);
    const call = request({
      ...host.callers,
      agent: false,
      method: 'POST',
      path: '/plan/a',
      headers: {
        Host: 'shop.example',
        'Endiveferry-Attempt-Id': id,
        'Endiveferry-Deadline-Ms': '15000',
        'Endiveferry-Model': 'm',
        'Endiveferry-Token-Usage': '250,600',
        'Endiveferry-Prefix-Hash': `${id}:250`,
        'Endiveferry-Segments': pieces,
        'Endiveferry-Segment-Key': id,
      },
    });
    call.end('{}');
    const end = await new Promise((resolve) => {
      call.on('response', (response) => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => resolve(`${response.statusCode}`));
      });
      call.on('error', (error) => resolve(error.code));
    });
    record(`${host.name}: ${id} ended with ${end}`);
  }

  try {
    await waitMs(2_000);
    const others = [];
    for (const host of hosts) {
      for (let count = 0; count < OTHER_CALLERS; count += 1) {
        others.push(runOtherCaller(host));
        await waitMs(WORK_MS / OTHER_CALLERS);
      }
    }
    await waitMs(2 * WORK_MS);
    await sendPieces(hosts[0], SOUND_PIECES);
    await waitMs(500);
    const isDispatcher = (host) => host.readLog().includes('batched piece call ended');
    record(`dispatcher: ${hosts.find(isDispatcher)?.name}`);
    const target = hosts.find((host) => !isDispatcher(host));
    void sendPieces(target, hasTrouble ? MALFORMED_PIECES : SOUND_PIECES);
    await waitMs(WATCH_MS);
    isOver = true;
    await Promise.all(others);
    for (const host of hosts) {
      if (!host.hasExited()) continue;
      ended += 1;
      const { code, signal } = await host.exited;
      record(`${host.name} ended by itself with code ${code}, signal ${signal}`);
      record(host.readErrors().trim());
    }
  } finally {
    isOver = true;
    await stopAll();
    store.close();
  }
  return {
    isBroken: cut.length > MAX_CUT,
    summary: `${ended} of ${HOSTS} hosts ended by themselves; ${cut.length} requests were at a replica and were cut off on a kept connection; other callers: ${JSON.stringify(ends)}`,
  };
});
