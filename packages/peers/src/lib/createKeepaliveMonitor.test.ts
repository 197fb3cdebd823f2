import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock } from '@endiveferry/base';

import { createKeepaliveMonitor } from './createKeepaliveMonitor.js';

const TIMEOUT_MS = 900;

function createHarness() {
  const clock = createFakeClock();
  const connection = { hasPendingRequests: true, pings: 0, isClosed: false };
  const monitor = createKeepaliveMonitor(clock, TIMEOUT_MS, {
    hasPendingRequests: () => connection.hasPendingRequests,
    sendPing: () => (connection.pings += 1),
    close: () => (connection.isClosed = true),
  });
  return { clock, connection, monitor };
}

// Without keepalive, requests to a host that lost power stay pending until their own deadlines.
test('the connection to an unresponsive host is pinged and closed at the timeout', async () => {
  const { clock, connection, monitor } = createHarness();
  monitor.start();
  await clock.advance(TIMEOUT_MS);
  assert.equal(connection.isClosed, true);
  assert.equal(connection.pings, 2);
});

test('the connection stays open during a slow request while pings are answered', async () => {
  const { clock, connection, monitor } = createHarness();
  monitor.start();
  for (let step = 0; step < 20; step += 1) {
    await clock.advance(TIMEOUT_MS / 3);
    monitor.recordReceived();
  }
  assert.equal(connection.isClosed, false);
});

test('no ping is sent while no request is pending', async () => {
  const { clock, connection, monitor } = createHarness();
  monitor.start();
  connection.hasPendingRequests = false;
  await clock.advance(TIMEOUT_MS * 3);
  assert.deepEqual(connection, { hasPendingRequests: false, pings: 0, isClosed: false });
});

test('a stall of this process does not close the connection', async () => {
  const { clock, connection, monitor } = createHarness();
  monitor.start();
  clock.jump(TIMEOUT_MS * 5);
  await clock.advance(0);
  monitor.recordReceived();
  await clock.advance(TIMEOUT_MS / 2);
  assert.equal(connection.isClosed, false);
});
