import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { test } from 'node:test';

import {
  createSupervisor,
  createSystemClock,
  processIdSchema,
  type HostId,
} from '@endiveferry/base';
import { setLogWriter } from '@endiveferry/telemetry';

import type { PeerNetwork } from './PeerNetwork.js';
import { hostA, hostB, startTestNetwork } from './startTestNetwork.js';
import { type Heartbeat } from './messages.js';

setLogWriter(() => undefined);

const clock = createSystemClock();

const createHeartbeat = (hostId: HostId): Heartbeat => ({
  processId: processIdSchema.parse(`process-${hostId}`),
  isDraining: false,
  configurationRevision: 7,
  hostListRevision: 1,
  hostListAsOf: 0,
  successors: [],
  leavingServers: [],
  suspects: [],
  demand: { pools: [], workspaces: [] },
});

interface Harness {
  readonly addresses: Map<HostId, string>;
  readonly listedHosts: Set<HostId>;
  readonly heartbeatCounts: Map<HostId, number>;
  readonly start: (hostId: HostId) => Promise<PeerNetwork<Heartbeat>>;
}

async function withHarness(run: (harness: Harness) => Promise<void>): Promise<void> {
  const addresses = new Map<HostId, string>();
  const listedHosts = new Set([hostA, hostB]);
  const heartbeatCounts = new Map<HostId, number>();
  const networks: PeerNetwork<Heartbeat>[] = [];
  const supervisor = createSupervisor('test', { clock, onCrash: () => undefined });
  async function start(hostId: HostId): Promise<PeerNetwork<Heartbeat>> {
    const network = await startTestNetwork(hostId, {
      supervisor,
      findAddress: (id) => addresses.get(id),
      isListed: (id) => listedHosts.has(id),
      buildHeartbeat: () => createHeartbeat(hostId),
      onHeartbeat: (id) => heartbeatCounts.set(id, (heartbeatCounts.get(id) ?? 0) + 1),
      handleRequest: (from, kind, body) => Promise.resolve({ from, kind, body }),
    });
    networks.push(network);
    addresses.set(hostId, network.address);
    return network;
  }
  try {
    await run({ addresses, listedHosts, heartbeatCounts, start });
  } finally {
    for (const network of networks) await network.close();
    await supervisor.stop();
  }
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  for (let turn = 0; turn < 1_000 && !isDone(); turn += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.ok(isDone(), 'the condition was not met in time');
}

test('linked hosts exchange heartbeats and requests', () =>
  withHarness(async ({ start, heartbeatCounts }) => {
    const a = await start(hostA);
    await start(hostB);
    a.setPeers([hostB]);
    await waitUntil(
      () => (heartbeatCounts.get(hostA) ?? 0) > 0 && (heartbeatCounts.get(hostB) ?? 0) > 0,
    );
    assert.equal(a.listLinks()[0]?.state, 'up');
    const reply = await a.request(hostB, 'read-configuration', { n: 1 }, 1_000);
    assert.deepEqual(reply.unwrapOr(undefined), {
      from: hostA,
      kind: 'read-configuration',
      body: { n: 1 },
    });
  }));

test('a request of a host that is not on the list is rejected', () =>
  withHarness(async ({ start, listedHosts }) => {
    const a = await start(hostA);
    await start(hostB);
    listedHosts.delete(hostA);
    const reply = await a.request(hostB, 'read-configuration', {}, 1_000);
    assert.ok(reply.isErr());
    assert.match(reply.error.detail, /not on the list/);
    assert.equal(reply.error.kind, 'not-sent');
  }));

test('a request to a host without an address fails as not sent', () =>
  withHarness(async ({ start }) => {
    const a = await start(hostA);
    const reply = await a.request(hostB, 'forward-request', {}, 1_000);
    assert.equal(reply.isErr() && reply.error.kind, 'not-sent');
  }));

/** Forwards bytes until `dropTraffic`, like a network path that drops the state of connections. */
async function startProxy(target: string) {
  const [ip, port] = target.split(':');
  const sockets = new Set<Socket>();
  const server = createServer((inner) => {
    const outer = new (inner.constructor as typeof Socket)().connect(Number(port), ip ?? '');
    for (const socket of [inner, outer]) {
      sockets.add(socket);
      socket.on('error', () => undefined);
    }
    inner.pipe(outer).pipe(inner);
  });
  const address = await new Promise<string>((resolve) =>
    server.listen(0, '127.0.0.1', () =>
      resolve(`127.0.0.1:${(server.address() as { port: number }).port}`),
    ),
  );
  return {
    address,
    dropTraffic() {
      for (const socket of sockets) {
        socket.unpipe();
        socket.pause();
      }
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

test('a link whose connection stopped passing traffic is reopened', () =>
  withHarness(async ({ start, addresses }) => {
    const a = await start(hostA);
    await start(hostB);
    const proxy = await startProxy(addresses.get(hostB) ?? '');
    addresses.set(hostB, proxy.address);
    a.setPeers([hostB]);
    await waitUntil(() => a.listLinks()[0]?.state === 'up');
    const getLastHeartbeatAt = () => a.listLinks()[0]?.lastHeartbeatAt ?? 0;
    proxy.dropTraffic();
    const droppedAt = clock.now();
    await waitUntil(() => getLastHeartbeatAt() > droppedAt + 1_000);
    assert.equal(a.listLinks()[0]?.state, 'up');
    proxy.close();
  }));
