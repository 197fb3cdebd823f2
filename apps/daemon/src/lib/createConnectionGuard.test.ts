import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { test } from 'node:test';

import { createFakeClock } from '@endiveferry/base';

import { createConnectionGuard } from './createConnectionGuard.js';
import { createReadPacer } from './createReadPacer.js';
import { DEFAULT_PROCESS_LIMITS, planConnections } from './planConnections.js';

const MAX_CONNECTIONS = 3;
const MAX_PIPELINED = 2;

function createHarness(rejectStopped?: () => boolean) {
  const drops: string[] = [];
  const guard = createConnectionGuard({
    maxConnections: MAX_CONNECTIONS,
    maxPipelined: MAX_PIPELINED,
    onDrop: (reason) => drops.push(reason),
    pacer: createReadPacer(createFakeClock()),
    ...(rejectStopped === undefined ? {} : { rejectStopped }),
  });
  const connect = () => {
    const socket = Object.assign(new EventEmitter(), {
      isOpen: true,
      destroy() {
        socket.isOpen = false;
        socket.emit('close');
      },
    });
    guard.add(socket as unknown as Socket);
    const request = () => {
      const response = Object.assign(new EventEmitter(), {
        headersSent: false,
        shouldKeepAlive: true,
        isDestroyed: false,
        destroy: () => (response.isDestroyed = true),
      });
      const isAdmitted = guard.admit(
        { socket } as unknown as IncomingMessage,
        response as unknown as ServerResponse,
      );
      return { isAdmitted, response, end: () => response.emit('close') };
    };
    return { socket, request };
  };
  return { drops, connect };
}

// Callers that only connect would otherwise lock out all others.
test('at the limit the connection that is longest without a request is closed', () => {
  const { drops, connect } = createHarness();
  const [busy, served, silent] = [connect(), connect(), connect()];
  busy.request();
  served.request().end();
  const next = connect();
  assert.deepEqual(
    [busy, served, silent, next].map(({ socket }) => socket.isOpen),
    [true, true, false, true],
  );
  assert.deepEqual(drops, ['too-many-connections']);
});

test('a connection is rejected when all others serve requests', () => {
  const { connect } = createHarness();
  const busy = [connect(), connect(), connect()];
  for (const { request } of busy) request();
  assert.equal(connect().socket.isOpen, false);
  assert.ok(busy.every(({ socket }) => socket.isOpen));
});

test('a connection is accepted when a request whose body has stopped is rejected', () => {
  const { connect } = createHarness(() => busy[0]?.request.end() ?? false);
  const busy = [connect(), connect(), connect()].map((connection) => ({
    socket: connection.socket,
    request: connection.request(),
  }));
  const next = connect();
  assert.ok(next.socket.isOpen);
  assert.equal(connect().socket.isOpen, true);
  assert.equal(busy[0]?.socket.isOpen, false);
});

test('a connection with too many open requests is closed', () => {
  const { drops, connect } = createHarness();
  const { socket, request } = connect();
  request().end();
  assert.ok(request().isAdmitted);
  assert.ok(request().isAdmitted);
  assert.equal(request().isAdmitted, false);
  assert.equal(socket.isOpen, false);
  assert.equal(request().isAdmitted, false);
  assert.deepEqual(drops, ['too-many-requests']);
});

// Requests of closed connections were never given back, and ran.
test('all open responses of a connection close with it', async () => {
  const { connect } = createHarness();
  const { socket, request } = connect();
  const [first, second] = [request(), request()];
  let closed = 0;
  for (const { response } of [first, second]) response.once('close', () => (closed += 1));
  socket.destroy();
  // The runtime closes the response that is being written.
  first.end();
  await new Promise((resolve) => process.nextTick(resolve));
  assert.equal(closed, 2);
  assert.equal(second.response.isDestroyed, true);
});

test('a request behind a response that closes the connection is not served', () => {
  const { connect } = createHarness();
  const { request } = connect();
  Object.assign(request().response, { headersSent: true, shouldKeepAlive: false });
  assert.equal(request().isAdmitted, false);
});

// The defaults must not reject the traffic of a machine without these settings.
test('the default limits leave room for 1,000 callers and 10 bodies of 4 MiB', () => {
  const plan = planConnections(DEFAULT_PROCESS_LIMITS);
  assert.ok(plan.callers >= 1_000, `${plan.callers} connections`);
  assert.ok(plan.bodyBytes >= 10 * 4_194_304, `${plan.bodyBytes} bytes`);
});
