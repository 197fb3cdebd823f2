import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';

import { createServerConnections } from '@endiveferry/routing';

import { connectSocket } from '../servers/connectSocket.js';
import { createTunnelSocket } from './createTunnelSocket.js';
import { joinSockets } from './joinSockets.js';

const CONNECT_TIMEOUT_MS = 1_000;
const UPLOAD = Buffer.alloc(3_000_000, 'x');
const PART = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of the response';
const RESET_DELAYS_MS = [0, 5, 60];

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends an upload over a connection through another host to a server that answers at once. */
async function sendCarriedUpload(answer: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  const address = await listen(server);
  const carrier = createServer({ pauseOnConnect: true }, (peer) => {
    peer.on('error', () => undefined);
    void connectSocket(address, CONNECT_TIMEOUT_MS).then((socket) =>
      joinSockets(peer, socket, () => undefined),
    );
  });
  const carrierAddress = await listen(carrier);
  const connections = createServerConnections(address, {
    openSocket: async () => {
      const peer = await connectSocket(carrierAddress, CONNECT_TIMEOUT_MS);
      peer.pause();
      return createTunnelSocket(peer, () => undefined);
    },
  });
  const result = await connections.send({
    method: 'POST',
    path: '/',
    rawHeaders: ['content-length', String(UPLOAD.length)],
    rawBody: UPLOAD,
  });
  await connections.close();
  for (const each of [server, carrier]) await new Promise((resolve) => each.close(resolve));
  return result;
}

test('a part of a response is no answer when its server behind another host resets', async () => {
  for (const delayMs of RESET_DELAYS_MS)
    for (const isRead of [true, false]) {
      const result = await sendCarriedUpload((socket) => {
        if (!isRead) socket.pause();
        socket.write(PART);
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
      assert.notEqual(result.kind, 'answered', `${delayMs} ms, read ${isRead}`);
    }
});

test('a response without a length to a carried upload is complete when its server ends it', async () => {
  const result = await sendCarriedUpload((socket) => {
    socket.resume();
    socket.end(PART);
  });
  assert.ok(result.kind === 'answered');
  assert.equal(result.body.toString(), 'part of the response');
});
