import assert from 'node:assert/strict';
import { test } from 'node:test';

import { backendServerIdSchema, createFakeClock, hostIdSchema } from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { createServerLimits } from './createServerLimits.js';

const server = backendServerIdSchema.parse('s-1');
const hostId = hostIdSchema.parse('10.0.0.1');

function createHarness(isShared = false) {
  const lines: string[] = [];
  setLogWriter((line) => lines.push(line));
  const clock = createFakeClock();
  let changes = 0;
  const limits = createServerLimits({
    clock,
    logger: createLogger(hostId, 'info'),
    hostId,
    listHosts: () => [hostId],
    isShared: () => isShared,
    onChange: () => (changes += 1),
  });
  return { clock, limits, lines, countChanges: () => changes };
}

test('a server gets requests again when the last of several backoffs ends', async () => {
  const { clock, limits } = createHarness();
  limits.backoffs.record(server, 2_500, 'response');
  limits.backoffs.record(server, 250, 'response');
  assert.ok(!limits.maySend(server) && limits.isLimited(server));
  await clock.advance(2_000);
  limits.backoffs.record(server, 1_000, 'response');
  await clock.advance(999);
  assert.ok(!limits.maySend(server));
  await clock.advance(2);
  assert.ok(limits.maySend(server) && !limits.isLimited(server));
  assert.equal(limits.backoffs.count(), 0);
});

test('a success that arrives during a backoff does not end it', () => {
  const { limits } = createHarness();
  limits.backoffs.record(server, 3_000, 'response');
  limits.recordAnswer(server, undefined);
  assert.ok(!limits.maySend(server));
});

test('an absurdly long backoff is bounded and logged', async () => {
  const { clock, limits, lines } = createHarness();
  limits.backoffs.record(server, 1e12, 'response');
  assert.ok(lines.some((line) => line.includes('"requestedMs":1000000000000')));
  await clock.advance(300_001);
  assert.ok(limits.maySend(server));
});

test('many rejections at once are logged as one backoff', async () => {
  const { clock, limits, lines } = createHarness();
  for (let index = 0; index < 20; index += 1) {
    limits.backoffs.record(server, 3_000, 'response');
    await clock.advance(5);
  }
  assert.equal(lines.length, 1);
});

test('a backoff is passed on only to hosts that share connections, by the host that was told', () => {
  const own = createHarness();
  own.limits.backoffs.record(server, 3_000, 'response');
  assert.deepEqual(own.limits.backoffs.listReports(), []);
  assert.equal(own.countChanges(), 0);
  const carrier = createHarness(true);
  carrier.limits.backoffs.record(server, 3_000, 'response');
  const reports = carrier.limits.backoffs.listReports();
  assert.equal(reports.length, 1);
  assert.equal(carrier.countChanges(), 1);
  const [sharing, other] = [createHarness(true), createHarness()];
  for (const { limits } of [sharing, other]) limits.backoffs.applyReports(reports, 'host');
  assert.ok(!sharing.limits.maySend(server) && other.limits.maySend(server));
  assert.deepEqual(sharing.limits.backoffs.listReports(), []);
});
