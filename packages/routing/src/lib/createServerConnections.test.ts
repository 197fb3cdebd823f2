import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';

import { createServerConnections } from './createServerConnections.js';

/** Sends the beginning of a response without a length, then calls `finish` on the connection. */
async function sendUnframed(finish: (socket: Socket) => void, delayMs = 30) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it', () => {
        // With a delay, the client reads the data before the end or reset arrives.
        if (delayMs > 0) setTimeout(() => finish(socket), delayMs);
        else finish(socket);
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`);
  const result = await connections.send({ method: 'GET', path: '/' });
  await connections.close();
  await new Promise((resolve) => server.close(resolve));
  return result;
}

// The client library reports a response without a length as complete when its connection is reset.
test('a response without a length that is reset is not treated as complete', async () => {
  const result = await sendUnframed((socket) => socket.resetAndDestroy());
  assert.equal(result.kind, 'unknown');
});

test('a response without a length ends with its connection', async () => {
  const result = await sendUnframed((socket) => socket.end());
  assert.ok(result.kind === 'answered');
  assert.equal(result.body.toString(), 'half of it');
});

test('a response without a length is incomplete if its data and a reset arrive together', async () => {
  const result = await sendUnframed((socket) => socket.resetAndDestroy(), 0);
  assert.equal(result.kind, 'unknown');
});

test('a response without a length that ends at once is complete', async () => {
  const result = await sendUnframed((socket) => socket.end(), 0);
  assert.ok(result.kind === 'answered');
});
