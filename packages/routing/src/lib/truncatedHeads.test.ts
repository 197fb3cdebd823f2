import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { test } from 'node:test';

import { createServerConnections } from './createServerConnections.js';
import type { ResponseStart } from './sendCall.js';

const fullResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes';

/** Heads of responses with different framing, all of them cut before their last byte. */
const heads: Readonly<Record<string, string>> = {
  'a length': 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\n',
  'the length first': 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n',
  chunks: 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n',
  'no framing': 'HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nConnection: close\r\n\r\n',
  'only line feeds': 'HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 0\n\n',
};

const closeHandlers: Readonly<Record<string, (socket: Socket) => void>> = {
  end: (socket) => socket.end(),
  reset: (socket) => setTimeout(() => socket.resetAndDestroy(), 2),
};

/** Sends one call whose response is cut, after `earlier` complete ones on the same connection. */
async function sendCut(
  head: string,
  bytes: number,
  close: (socket: Socket) => void,
  earlier: number,
) {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      if (requests <= earlier) {
        socket.write(fullResponse);
        return;
      }
      if (bytes > 0) socket.write(head.slice(0, bytes));
      close(socket);
    });
  });
  const port = await new Promise<number>((resolve) =>
    server.listen(0, '127.0.0.1', () => resolve((server.address() as { port: number }).port)),
  );
  const connections = createServerConnections(`127.0.0.1:${port}`, { maxConnections: 1 });
  const starts: ResponseStart[] = [];
  try {
    for (let index = 0; index < earlier; index += 1) {
      const complete = await connections.send({ method: 'GET', path: '/' });
      assert.equal(complete.kind, 'answered');
    }
    const result = await connections.send({
      method: 'GET',
      path: '/',
      onStart(start) {
        starts.push(start);
        return false;
      },
    });
    return { result, starts };
  } finally {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
    await connections.close();
  }
}

for (const [framing, head] of Object.entries(heads)) {
  for (const [ending, close] of Object.entries(closeHandlers)) {
    test(`a head with ${framing} that is cut by ${ending} is no response`, async () => {
      for (const earlier of [0, 1]) {
        for (let bytes = 0; bytes < head.length; bytes += 1) {
          const { result, starts } = await sendCut(head, bytes, close, earlier);
          const where = `${bytes} of ${head.length} bytes, ${earlier} earlier responses`;
          assert.equal(result.kind, 'unknown', where);
          assert.equal(starts.length, 0, where);
        }
      }
    });
  }
}
