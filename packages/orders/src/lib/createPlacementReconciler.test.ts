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

import { createLoadRateLimiter } from './createLoadRateLimiter.js';
import {
  createPlacementReconciler,
  type PlacementOrder,
  type PlacementReconciler,
} from './createPlacementReconciler.js';

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
  readonly reconciler: PlacementReconciler;
  revision: number;
  /** Delays orders before they are written, as an event loop stall does. */
  stall: Promise<void> | undefined;
}

/** Creates several hosts and one engine that accepts orders with any fencing number. */
function createHarness() {
  const clock: FakeClock = createFakeClock();
  const accepted: { from: HostId; order: PlacementOrder; at: number }[] = [];
  const supervisor = createSupervisor('test', {
    clock,
    onCrash: (_path, error) => assert.fail(String(error)),
  });
  const hosts = new Map<HostId, Host>();
  for (const hostId of hostIds) {
    const view = createOwnershipView(hostId, clock, () => limits);
    const host: Host = { view, reconciler: undefined as never, revision: 0, stall: undefined };
    const reconciler = createPlacementReconciler({
      clock,
      logger: createLogger(hostId, 'error'),
      supervisor: supervisor.createChild(hostId),
      view,
      getFencingNumber: () => host.revision,
      getConfiguration: () => configuration,
      countHosts: () => 1,
      getReportedModels: () => [],
      async send(_poolId, _serverId, order, maySend) {
        await host.stall;
        if (!maySend()) return { kind: 'not-sent', reason: 'key-unproven', detail: 'stale' };
        accepted.push({ from: hostId, order, at: clock.now() });
        return { kind: 'answered', status: 202, headers: {}, body: Buffer.alloc(0) };
      },
    });
    hosts.set(hostId, Object.assign(host, { reconciler }));
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
  /** Advances the clock while the platform keeps confirming the host list to the given hosts. */
  async function advance(ms: number, confirmedTo: readonly HostId[] = hostIds): Promise<void> {
    for (let passed = 0; passed < ms; passed += 100) {
      await clock.advance(100);
      for (const id of confirmedTo) hosts.get(id)?.view.confirm(clock.wallTime());
    }
  }
  const getResponsibleHost = () => {
    const id = hosts.get(hostIds[0] ?? ('' as HostId))?.view.findOwner(`order ${engine}`);
    assert.ok(id !== undefined);
    return id;
  };
  return {
    clock,
    accepted,
    hosts,
    publish,
    advance,
    getResponsibleHost,
    stop: () => supervisor.stop(),
  };
}

test('exactly one host sends an order for the models placed on an engine', async () => {
  const harness = createHarness();
  harness.publish(hostIds, 1);
  await harness.advance(5_000);
  const [first] = harness.accepted;
  assert.equal(harness.accepted.length, 1);
  assert.equal(first?.from, harness.getResponsibleHost());
  assert.deepEqual(first.order, { fencingNumber: 1, models: [{ id: model, version: '1' }] });
  await harness.stop();
});

// Guards against two hosts sending orders to an engine: a host stalls between its check and the
// write while another host becomes responsible.
test('a host that stalled before writing an order discards it if it lost responsibility', async () => {
  const harness = createHarness();
  harness.publish(hostIds, 1);
  const stalled = harness.getResponsibleHost();
  const host = harness.hosts.get(stalled);
  assert.ok(host !== undefined);
  let resume: () => void = () => undefined;
  host.stall = new Promise((resolve) => (resume = resolve));
  await harness.advance(3_000);
  const others = hostIds.filter((id) => id !== stalled);
  harness.publish(others, 2, others);
  await harness.advance(5_000, others);
  resume();
  await harness.clock.advance(200);
  assert.equal(harness.accepted.length, 1);
  assert.notEqual(harness.accepted[0]?.from, stalled);
  await harness.stop();
});

test('a new responsible host waits until the previous one can no longer act as responsible', async () => {
  const harness = createHarness();
  harness.publish(hostIds, 1);
  await harness.advance(500);
  const changedAt = harness.clock.now();
  const removed = harness.getResponsibleHost();
  const others = hostIds.filter((id) => id !== removed);
  // The host that was removed from the list is not notified, and its view expires.
  harness.publish(others, 2, others);
  await harness.advance(6_000, others);
  for (const { from, at } of harness.accepted) {
    if (from === removed) assert.ok(at <= changedAt + limits.viewValidityMs);
    else assert.ok(at > changedAt + limits.viewValidityMs);
  }
  assert.ok(harness.accepted.some(({ from }) => from !== removed));
  await harness.stop();
});

test('no host sends an order without a confirmed host list', async () => {
  const harness = createHarness();
  harness.publish(hostIds, 1);
  await harness.advance(10_000, []);
  assert.deepEqual(harness.accepted, []);
  await harness.stop();
});

test('hosts that start together jointly stay under the weight store’s rate', async () => {
  const clock = createFakeClock();
  const limiters = Array.from({ length: 6 }, () => createLoadRateLimiter(clock, () => 60 / 6));
  let loads = 0;
  for (let second = 0; second < 120; second += 1) {
    await clock.advance(1_000);
    for (const limiter of limiters) if (limiter.tryAcquire()) loads += 1;
  }
  assert.ok(loads <= 120 && loads > 100, `${loads} in two minutes at 60 a minute`);
});
