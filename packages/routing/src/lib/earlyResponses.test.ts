import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';

import { createServerConnections } from './createServerConnections.js';
import type { CallResult } from './sendCall.js';

const UPLOAD = Buffer.alloc(3_000_000, 'x');
const PART = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart of the response';
const RESET_DELAYS_MS = [0, 5, 60];

/** Where a server answers: as the connection opens, or with the first bytes of the request. */
type Moment = 'connection' | 'data';

/** Sends an upload to a server that answers at once with a part of a response and resets. */
async function sendUpload(
  moment: Moment,
  delayMs: number,
  isRead: boolean,
  usesNewConnection: boolean,
): Promise<CallResult> {
  const server = createServer((socket: Socket) => {
    socket.on('error', () => undefined);
    const answer = () => {
      if (!isRead) socket.pause();
      socket.write(PART);
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    };
    if (moment === 'connection') answer();
    else socket.once('data', answer);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`);
  const result = await connections.send({
    method: 'POST',
    path: '/',
    rawHeaders: ['content-length', String(UPLOAD.length)],
    rawBody: UPLOAD,
    usesNewConnection,
  });
  await connections.close();
  await new Promise((resolve) => server.close(resolve));
  return result;
}

for (const moment of ['connection', 'data'] as const)
  test(`a part of a response is no answer when the server resets: at the first ${moment}`, async () => {
    for (const delayMs of RESET_DELAYS_MS)
      for (const isRead of [true, false])
        for (const usesNewConnection of [true, false]) {
          const result = await sendUpload(moment, delayMs, isRead, usesNewConnection);
          const label = `${delayMs} ms, read ${isRead}, new connection ${usesNewConnection}`;
          assert.notEqual(result.kind, 'answered', label);
        }
  });
