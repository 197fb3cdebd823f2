import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { test } from 'node:test';

import { createServerConnections } from './createServerConnections.js';
import type { Call, CallResult } from './sendCall.js';

const answer = (status: string, body: string) =>
  `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** A server that handles raw requests, and counts how many it was sent. */
async function withServer(
  onRequest: (socket: Socket, count: number) => void,
  run: (
    send: (call: Partial<Call>) => Promise<CallResult>,
    countRequests: () => number,
  ) => Promise<void>,
): Promise<void> {
  let requests = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      onRequest(socket, requests);
    });
  });
  const port = await new Promise<number>((resolve) =>
    server.listen(0, '127.0.0.1', () => resolve((server.address() as { port: number }).port)),
  );
  const connections = createServerConnections(`127.0.0.1:${port}`);
  try {
    await run(
      (call) => connections.send({ method: 'POST', path: '/', body: { x: 1 }, ...call }),
      () => requests,
    );
  } finally {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
    await connections.close();
  }
}

test('a whole answer is passed on with its status', () =>
  withServer(
    (socket) => socket.write(answer('429 Busy', 'no')),
    async (send) => {
      const result = await send({});
      assert.equal(result.kind, 'answered');
      assert.equal(result.status, 429);
      assert.equal(result.body.toString(), 'no');
    },
  ));

test('a call that no connection could be opened for was not sent', async () => {
  const connections = createServerConnections('127.0.0.1:1');
  const result = await connections.send({ method: 'POST', path: '/', body: {} });
  assert.equal(result.kind, 'not-sent');
  assert.equal(result.reason, 'connect-failed');
  await connections.close();
});

test('a call whose connection is cut has an unknown outcome and is not sent again', () =>
  withServer(
    (socket) => socket.destroy(),
    async (send, countRequests) => {
      const result = await send({});
      assert.equal(result.kind, 'unknown');
      await new Promise((resolve) => setImmediate(resolve));
      assert.equal(countRequests(), 1);
    },
  ));

test('a kept connection that the server closes does not make a call go out twice', () =>
  withServer(
    (socket, count) => {
      if (count === 1) socket.write(answer('200 OK', 'a'));
      else socket.destroy();
    },
    async (send, countRequests) => {
      assert.equal((await send({})).kind, 'answered');
      const second = await send({});
      assert.notEqual(second.kind, 'answered');
      assert.equal(countRequests(), 2);
    },
  ));

test('a call that may no longer be sent is not written', () =>
  withServer(
    () => undefined,
    async (send, countRequests) => {
      const result = await send({ maySend: () => false, usesOwnConnection: true });
      assert.deepEqual([result.kind, countRequests()], ['not-sent', 0]);
      assert.equal(result.kind === 'not-sent' && result.reason, 'key-unproven');
    },
  ));

test('an abort before the write means not sent, one after it means unknown', () =>
  withServer(
    () => undefined,
    async (send) => {
      const early = await send({ signal: AbortSignal.abort() });
      assert.equal(early.kind, 'not-sent');
      const controller = new AbortController();
      const late = send({ signal: controller.signal });
      setTimeout(() => controller.abort(), 50);
      assert.equal((await late).kind, 'unknown');
    },
  ));
