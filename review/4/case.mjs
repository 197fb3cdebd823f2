// Hosts that carry the connections of another host to a replica are stopped as planned, in turn. Checks
// that no stream that is cut off by this looks complete to its caller.
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { findAddresses, startHosts, waitMs } from '../hosts.mjs';
import { hasTrouble, runCase } from '../record.mjs';
import { startStore } from '../store.mjs';

const STAND_INS = join(dirname(fileURLToPath(import.meta.url)), '..');
/** Length of the longest streams of the small deployments. */
const EVENTS = 224;
/** One in 20 answers has no length. */
const UNFRAMED_INTERVAL = 20;
/** Requests that arrive at the same time. */
const BURST = 24;
/** Time for which the replica accepts no connections, in milliseconds. */
const STOPPED_MS = 120;
/** Requests that arrive while a host connects through others, and their interval. */
const LATER = 60;
const LATER_INTERVAL_MS = 15;
/** Time between the stops of the other hosts, in milliseconds. */
const STOP_GAP_MS = 1_000;

async function startReplica(ip, serverId, onRun) {
  const child = spawn('node', [join(STAND_INS, 'streamReplica.mjs'), ip, serverId], {
    env: { PATH: process.env.PATH, UNFRAMED_INTERVAL: String(UNFRAMED_INTERVAL) },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  process.on('exit', () => child.kill('SIGKILL'));
  const address = await new Promise((resolve) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      const told = JSON.parse(line);
      if (told.kind === 'listening') resolve(told.address);
      else onRun(told);
    });
  });
  return { address, kill: (signal) => child.kill(signal) };
}

await runCase(process.argv[2], async (record) => {
  const [ip, ...ips] = await findAddresses(4);
  const store = await startStore(ip);
  const unframed = new Set();
  const replica = await startReplica(ip, 'i-1', ({ kind, id, isUnframed, event }) => {
    if (isUnframed) unframed.add(id);
    if (kind === 'run') record(`the replica runs ${id}${isUnframed ? ', without a length' : ''}`);
    else record(`the replica: stream ${id} is ${kind} after event ${event}`);
  });
  store.put('servers/i-1', {
    service: 'pool',
    address: replica.address,
    zone: 'zone-a',
    version: 'v1',
    slots: 128,
    state: 'ready',
    warmup_left_ms: 0,
    sequence: 1,
  });
  store.put('op/config', {
    version: 7,
    routes: [
      {
        name: 'r-plan',
        host: 'plans.example',
        prefix: '/plan/',
        route_type: 'streaming',
        timeout_ms: 15_000,
        target_latency_ms: 1_200,
        priority: 0,
        service: 'pool',
        max_attempts: 1,
        phases: [],
        public: true,
        sticky: true,
        resumable: false,
        itl_target_ms: 400,
      },
    ],
    services: [
      {
        name: 'pool',
        health_path: '/healthz',
        max_conns: 500,
        protocol: 'h1',
        tls: false,
        engine: { slots: 128, kv_capacity: 785_915 },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
  const { hosts, stopAll } = await startHosts(ips, store.address);
  const [host, ...others] = hosts;
  const ends = {};
  const short = [];

  function send() {
    const id = randomBytes(8).toString('hex');
    return new Promise((resolve) => {
      let text = '';
      const finish = (end) => {
        const events = text.split('\n\n').length - 1;
        record(`the caller of ${id}: ${end} after ${events} events`);
        ends[end] = (ends[end] ?? 0) + 1;
        const looksComplete = end === '200' && events < EVENTS;
        if (looksComplete) {
          short.push(id);
          record(`ORDER: the stream ${id} ended as complete after event ${events} of ${EVENTS}`);
        }
        resolve();
      };
      const call = request({
        ...host.callers,
        agent: false,
        method: 'POST',
        path: `/plan/${EVENTS}`,
        headers: {
          Host: 'plans.example',
          'Endiveferry-Attempt-Id': id,
          'Endiveferry-Deadline-Ms': '15000',
          'Endiveferry-Model': 'm',
          'Endiveferry-Token-Usage': '1460,600',
          'Endiveferry-Prefix-Hash': `5c1e07a2:800,${id}:250`,
        },
      });
      call.on('response', (response) => {
        response.on('data', (chunk) => (text += chunk));
        response.on('error', () => undefined);
        response.on('close', () => finish(response.complete ? `${response.statusCode}` : 'cut'));
      });
      call.on('error', (error) => finish(error.code));
      call.end('{}');
    });
  }

  let log = '';
  try {
    await waitMs(3_500);
    if (hasTrouble) {
      record('the replica stands still');
      replica.kill('SIGSTOP');
    }
    const pending = Array.from({ length: BURST }, send);
    await waitMs(STOPPED_MS);
    replica.kill('SIGCONT');
    if (hasTrouble) record('the replica goes on');
    await waitMs(100);
    for (let index = 0; index < LATER; index += 1) {
      pending.push(send());
      await waitMs(LATER_INTERVAL_MS);
    }
    for (const other of hasTrouble ? others : []) {
      record(`${other.name} gets SIGTERM`);
      other.kill('SIGTERM');
      void other.exited.then(() => record(`${other.name} has ended`));
      await waitMs(STOP_GAP_MS);
    }
    await Promise.all(pending);
    log = host.readLog();
  } finally {
    replica.kill('SIGKILL');
    await stopAll();
    store.close();
  }
  const carried = (log.match(/connecting through other hosts/g) ?? []).length;
  record(`${host.name} logged ${carried} times that it connects through other hosts`);
  return {
    isBroken: short.length > 0,
    summary: `${BURST + LATER} streams, ${unframed.size} without a length; ends: ${JSON.stringify(ends)}; ${short.length} ended as complete before their last event`,
  };
});
