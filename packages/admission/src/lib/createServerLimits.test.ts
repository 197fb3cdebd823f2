import assert from 'node:assert/strict';
import { test } from 'node:test';

import { backendServerIdSchema, createFakeClock, hostIdSchema } from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { createServerLimits } from './createServerLimits.js';

setLogWriter(() => undefined);

const server = backendServerIdSchema.parse('server');
const hostIds = Array.from({ length: 30 }, (_, index) => hostIdSchema.parse(`host-${index}`));

function createHarness(hosts = hostIds.slice(0, 1), clock = createFakeClock(), hostId = hosts[0]) {
  const changes = { count: 0 };
  const limits = createServerLimits({
    clock,
    logger: createLogger(hostIdSchema.parse('host'), 'error'),
    hostId: hostId ?? assert.fail('no host'),
    listHosts: () => hosts,
    onChange: () => (changes.count += 1),
  });
  /** Sends as many requests as allowed for some seconds and returns their number. */
  async function sendFor(seconds: number): Promise<number> {
    let sent = 0;
    for (let step = 0; step < seconds * 20; step += 1) {
      if (limits.maySend(server)) {
        limits.recordSent(server);
        sent += 1;
      }
      await clock.advance(50);
    }
    return sent;
  }
  return { clock, limits, changes, sendFor };
}

test('a server without a limit may be sent any request', () => {
  const { limits } = createHarness();
  limits.recordAnswer(server, undefined);
  for (let sent = 0; sent < 100; sent += 1) {
    assert.ok(limits.maySend(server));
    limits.recordSent(server);
  }
  assert.deepEqual(limits.listReports(), []);
});

test('a single host uses the whole limit', async () => {
  const { limits, sendFor } = createHarness();
  limits.recordAnswer(server, 3);
  const sent = await sendFor(10);
  assert.ok(sent >= 28 && sent <= 32, String(sent));
});

test('a low limit is left to a few hosts of a large fleet', async () => {
  const clock = createFakeClock();
  const all = hostIds.map((hostId) => createHarness(hostIds, clock, hostId));
  for (const { limits } of all) limits.recordAnswer(server, 1);
  let sent = 0;
  for (let step = 0; step < 200; step += 1) {
    for (const { limits } of all) {
      if (!limits.maySend(server)) continue;
      limits.recordSent(server);
      sent += 1;
    }
    await clock.advance(100);
  }
  assert.ok(sent >= 16 && sent <= 23, String(sent));
  assert.equal(all.filter(({ limits }) => limits.isRefreshDue(server)).length, 0);
});

test('a fractional limit is kept', async () => {
  const { limits, sendFor } = createHarness();
  limits.recordAnswer(server, 0.5);
  const sent = await sendFor(20);
  assert.ok(sent >= 9 && sent <= 11, String(sent));
});

test('a limit ends with an answer that names none, and others hear of it', async () => {
  const { clock, limits, changes } = createHarness();
  limits.recordAnswer(server, 1);
  await clock.advance(1_000);
  limits.recordAnswer(server, undefined);
  assert.equal(limits.isLimited(server), false);
  assert.equal(changes.count, 2);
  assert.deepEqual(limits.listReports(), [{ serverId: server, ageMs: 0 }]);
});

test('an answer sent before the limit was named does not end it', async () => {
  const { clock, limits } = createHarness();
  limits.recordAnswer(server, 1);
  await clock.advance(100);
  limits.recordAnswer(server, undefined);
  assert.ok(limits.isLimited(server));
});

test('a server whose limit nobody has confirmed for some time gets the next request', async () => {
  const { clock, limits } = createHarness();
  limits.recordAnswer(server, 1);
  assert.equal(limits.isRefreshDue(server), false);
  limits.maySend(server);
  await clock.advance(2_500);
  assert.ok(limits.isRefreshDue(server));
  limits.recordSent(server);
  assert.equal(limits.isRefreshDue(server), false);
});

test('the newest report of a limit counts', async () => {
  const { clock, limits } = createHarness();
  await clock.advance(10_000);
  limits.applyReports([{ serverId: server, perSecond: 1, ageMs: 3_000 }], 'test');
  limits.applyReports([{ serverId: server, ageMs: 1_000 }], 'test');
  limits.applyReports([{ serverId: server, perSecond: 1, ageMs: 2_000 }], 'test');
  assert.equal(limits.isLimited(server), false);
});

test('a server that is no longer listed is forgotten', () => {
  const { limits } = createHarness();
  limits.recordAnswer(server, 1);
  limits.update(new Set());
  assert.equal(limits.countLimited(), 0);
});
