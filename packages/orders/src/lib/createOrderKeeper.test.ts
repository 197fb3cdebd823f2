import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  backendServerIdSchema,
  createFakeClock,
  createSupervisor,
  hostIdSchema,
  modelIdSchema,
  type FakeClock,
  type HostId,
} from '@endiveferry/base';
import { createOwnershipView, type OwnershipView } from '@endiveferry/claims';
import { configurationSchema } from '@endiveferry/settings';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { createLoadPacer } from './createLoadPacer.js';
import { createOrderKeeper, type Order, type OrderKeeper } from './createOrderKeeper.js';

setLogWriter(() => undefined);

const limits = { clockSkewMs: 0, viewValidityMs: 1_000, keyRetentionMs: 100_000 };
const hostIds = ['host-a', 'host-b', 'host-c'].map((id) => hostIdSchema.parse(id));
const engine = backendServerIdSchema.parse('engine-1');
const model = modelIdSchema.parse('planner');

const configuration = configurationSchema.parse({
  availabilityZones: { north: { region: 'r' } },
  hosts: {},
  ranks: {},
  workspaces: {},
  models: { planner: { version: '1' } },
  pools: {
    models: {
      kind: 'model-engine',
      serverConcurrency: 1,
      backendServers: {
        'engine-1': { address: '127.0.0.1:1', availabilityZone: 'north', models: ['planner'] },
      },
    },
  },
  pipelines: {},
  limits: { modelLoadsPerMinute: 6_000 },
});

interface Host {
  readonly view: OwnershipView;
  readonly keeper: OrderKeeper;
  revision: number;
  /** Holds orders back before they are written, as a pause does. */
  pause: Promise<void> | undefined;
}

/** Hosts before one engine that takes every order, whatever its number. */
function createWorld() {
  const clock: FakeClock = createFakeClock();
  const accepted: { from: HostId; order: Order; at: number }[] = [];
  const supervisor = createSupervisor('test', {
    clock,
    onCrash: (_path, error) => assert.fail(String(error)),
  });
  const hosts = new Map<HostId, Host>();
  for (const hostId of hostIds) {
    const view = createOwnershipView(hostId, clock, () => limits);
    const host: Host = { view, keeper: undefined as never, revision: 0, pause: undefined };
    const keeper = createOrderKeeper({
      clock,
      logger: createLogger(hostId, 'error'),
      supervisor: supervisor.createChild(hostId),
      view,
      findFencingNumber: () => host.revision,
      findConfiguration: () => configuration,
      countHosts: () => 1,
      findReportedModels: () => [],
      async send(_poolId, _serverId, order, maySend) {
        await host.pause;
        if (!maySend()) return { kind: 'not-sent', reason: 'key-unproven', detail: 'stale' };
        accepted.push({ from: hostId, order, at: clock.now() });
        return { kind: 'answered', status: 202, headers: {}, body: Buffer.alloc(0) };
      },
    });
    hosts.set(hostId, Object.assign(host, { keeper }));
  }
  function publish(list: readonly HostId[], revision: number, to = hostIds): void {
    for (const id of to) {
      const host = hosts.get(id);
      if (host === undefined) continue;
      host.revision = revision;
      host.view.setHosts(list, revision);
      host.view.confirm(clock.wallTime());
    }
  }
  /** Time passes, and the platform keeps confirming the list to those who hear it. */
  async function pass(ms: number, confirmedTo: readonly HostId[] = hostIds): Promise<void> {
    for (let passed = 0; passed < ms; passed += 100) {
      await clock.advance(100);
      for (const id of confirmedTo) hosts.get(id)?.view.confirm(clock.wallTime());
    }
  }
  const findResponsible = () => {
    const id = hosts.get(hostIds[0] ?? ('' as HostId))?.view.findOwner(`order ${engine}`);
    assert.ok(id !== undefined);
    return id;
  };
  return { clock, accepted, hosts, publish, pass, findResponsible, stop: () => supervisor.stop() };
}

test('one host alone orders what the configuration places on an engine', async () => {
  const world = createWorld();
  world.publish(hostIds, 1);
  await world.pass(5_000);
  const [first] = world.accepted;
  assert.equal(world.accepted.length, 1);
  assert.equal(first?.from, world.findResponsible());
  assert.deepEqual(first.order, { fencingNumber: 1, models: [{ id: model, version: '1' }] });
  await world.stop();
});

test('a host that was paused before its order was written does not write it', async () => {
  const world = createWorld();
  world.publish(hostIds, 1);
  const paused = world.findResponsible();
  const host = world.hosts.get(paused);
  assert.ok(host !== undefined);
  let wake: () => void = () => undefined;
  host.pause = new Promise((resolve) => (wake = resolve));
  await world.pass(3_000);
  const others = hostIds.filter((id) => id !== paused);
  world.publish(others, 2, others);
  await world.pass(5_000, others);
  wake();
  await world.clock.advance(200);
  assert.equal(world.accepted.length, 1);
  assert.notEqual(world.accepted[0]?.from, paused);
  await world.stop();
});

test('a new responsible host waits until the old one can no longer believe that it is', async () => {
  const world = createWorld();
  world.publish(hostIds, 1);
  await world.pass(500);
  const changedAt = world.clock.now();
  const left = world.findResponsible();
  const others = hostIds.filter((id) => id !== left);
  // The host that left the list does not hear of it, and its view runs out.
  world.publish(others, 2, others);
  await world.pass(6_000, others);
  for (const { from, at } of world.accepted) {
    if (from === left) assert.ok(at <= changedAt + limits.viewValidityMs);
    else assert.ok(at > changedAt + limits.viewValidityMs);
  }
  assert.ok(world.accepted.some(({ from }) => from !== left));
  await world.stop();
});

test('nobody orders anything while no list is confirmed', async () => {
  const world = createWorld();
  world.publish(hostIds, 1);
  await world.pass(10_000, []);
  assert.deepEqual(world.accepted, []);
  await world.stop();
});

test('hosts that start together stay under the weight store’s rate together', async () => {
  const clock = createFakeClock();
  const pacers = Array.from({ length: 6 }, () => createLoadPacer(clock, () => 60 / 6));
  let loads = 0;
  for (let second = 0; second < 120; second += 1) {
    await clock.advance(1_000);
    for (const pacer of pacers) if (pacer.tryTake()) loads += 1;
  }
  assert.ok(loads <= 120 && loads > 100, `${loads} in two minutes at 60 a minute`);
});
