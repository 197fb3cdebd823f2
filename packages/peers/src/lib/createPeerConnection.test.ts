import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';

import { createSystemClock } from '@endiveferry/base';

import { createPeerConnection } from './createPeerConnection.js';

const SILENCE_MS = 90;
const LONG_MS = 60_000;
const clock = createSystemClock();

async function withPair(
  serve: (socket: Socket) => void,
  run: (socket: Socket) => Promise<void>,
): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    serve(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  try {
    await run(socket);
  } finally {
    for (const open of [socket, ...sockets]) open.destroy();
    server.close();
  }
}

test('a request to a host that went silent waited for its own time limit', () =>
  withPair(
    (socket) => socket.resume(),
    async (socket) => {
      const connection = createPeerConnection(socket, clock, () => Promise.resolve(), SILENCE_MS);
      const reply = await connection.request('run-pieces', {}, LONG_MS);
      assert.equal(reply.isErr() && reply.error.kind, 'unknown');
      assert.equal(connection.isOpen(), false);
    },
  ));

test('a host that works for longer than the silence allowed answers pings meanwhile', () =>
  withPair(
    (socket) => {
      createPeerConnection(socket, clock, async () => {
        await new Promise((resolve) => setTimeout(resolve, SILENCE_MS * 4));
        return 'done';
      });
    },
    async (socket) => {
      const connection = createPeerConnection(socket, clock, () => Promise.resolve(), SILENCE_MS);
      const reply = await connection.request('run-pieces', {}, LONG_MS);
      assert.equal(reply.isOk() && reply.value, 'done');
    },
  ));
