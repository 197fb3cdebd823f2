import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { test } from 'node:test';

import { createServerConnections } from './createServerConnections.js';
import type { Call, CallResult } from './sendCall.js';

const formatResponse = (status: string, body: string) =>
  `HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** Runs a test against a server that handles raw requests and counts them. */
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

test('a complete response is returned with its status', () =>
  withServer(
    (socket) => socket.write(formatResponse('429 Busy', 'no')),
    async (send) => {
      const result = await send({});
      assert.equal(result.kind, 'answered');
      assert.equal(result.status, 429);
      assert.equal(result.body.toString(), 'no');
    },
  ));

test('a response whose status HTTP does not define, or that is never final, is no answer', async () => {
  for (const status of ['000', '001', '099', '100', '103', '199', '600', '999'])
    await withServer(
      (socket) => {
        socket.end(formatResponse(`${status} X`, 'no'));
      },
      async (send) => {
        for (const usesNewConnection of [true, false]) {
          const result = await send({ usesNewConnection });
          assert.equal(result.kind, 'unknown', status);
        }
      },
    );
});

test('a call without a connection is not sent', async () => {
  const connections = createServerConnections('127.0.0.1:1');
  const result = await connections.send({ method: 'POST', path: '/', body: {} });
  assert.equal(result.kind, 'not-sent');
  assert.equal(result.reason, 'connect-failed');
  await connections.close();
});

test('a call whose connection is closed has an unknown outcome and is not sent again', () =>
  withServer(
    (socket) => socket.destroy(),
    async (send, countRequests) => {
      const result = await send({});
      assert.equal(result.kind, 'unknown');
      await new Promise((resolve) => setImmediate(resolve));
      assert.equal(countRequests(), 1);
    },
  ));

test('a keep-alive connection closed by the server does not cause a call to be sent twice', () =>
  withServer(
    (socket, count) => {
      if (count === 1) socket.write(formatResponse('200 OK', 'a'));
      else socket.destroy();
    },
    async (send, countRequests) => {
      assert.equal((await send({})).kind, 'answered');
      const second = await send({});
      assert.notEqual(second.kind, 'answered');
      assert.equal(countRequests(), 2);
    },
  ));

test('a call is not written if `maySend` returns false', () =>
  withServer(
    () => undefined,
    async (send, countRequests) => {
      const result = await send({ maySend: () => false, usesNewConnection: true });
      assert.deepEqual([result.kind, countRequests()], ['not-sent', 0]);
      assert.equal(result.kind === 'not-sent' && result.reason, 'key-unproven');
    },
  ));

test('a call aborted before the write is not sent, one aborted after it is unknown', () =>
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

test('a call that may not be sent any more when a connection is free is withheld', () =>
  withServer(
    (socket) => socket.write(formatResponse('200 OK', 'yes')),
    async (send, countRequests) => {
      const result = await send({ maySend: () => false });
      assert.equal(result.kind, 'not-sent');
      assert.equal('isWithheld' in result && result.isWithheld, true);
      assert.equal(countRequests(), 0);
    },
  ));
