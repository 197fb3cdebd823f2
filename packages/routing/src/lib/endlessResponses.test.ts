import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';

import { createServerConnections, type ServerConnections } from './createServerConnections.js';
import type { CallResult } from './sendCall.js';

const CHUNK_BYTES = 16_384;
/** Ends a call that is not broken off before. */
const CALL_TIMEOUT_MS = 10_000;
const RESPONSE_START = 'HTTP/1.1 200 OK\r\n';

/** Writes text again and again until the connection closes, as fast as it is read. */
function writeEndlessly(socket: Socket, text: string): void {
  const chunk = text.repeat(Math.ceil(CHUNK_BYTES / text.length));
  const write = () => {
    if (socket.destroyed) return;
    while (socket.write(chunk));
    socket.once('drain', write);
  };
  write();
}

interface EndlessServer {
  readonly connections: ServerConnections;
  /** Resolves when all connections that calls were sent on are closed. */
  readonly closed: () => Promise<void>;
}

/** Runs a test against a server that answers each call with a start and then repeats a text. */
async function withEndlessServer(
  start: string,
  repeated: string,
  run: (server: EndlessServer) => Promise<void>,
): Promise<void> {
  const closings: Promise<void>[] = [];
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    closings.push(new Promise((resolve) => socket.once('close', () => resolve())));
    socket.once('data', () => {
      socket.write(start);
      writeEndlessly(socket, repeated);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const connections = createServerConnections(
    `127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  try {
    await run({
      connections,
      closed: async () => {
        await Promise.all(closings);
      },
    });
  } finally {
    await connections.close();
    server.close();
  }
}

async function assertIsBrokenOff(start: string, repeated: string): Promise<void> {
  await withEndlessServer(start, repeated, async ({ connections, closed }) => {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const result: CallResult = await connections.send({ method: 'GET', path: '/', signal });
    assert.equal(result.kind, 'unknown');
    assert.notEqual(result.reason, 'cancelled');
    await closed();
  });
}

test('a call whose response head does not end is broken off', () =>
  assertIsBrokenOff(`${RESPONSE_START}x: `, 'a'));

test('a call whose response has header lines without end is broken off', () =>
  assertIsBrokenOff(RESPONSE_START, 'x: y\r\n'));

test('a call with interim responses without end is broken off', () =>
  assertIsBrokenOff('', 'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n'));

test('a call that is answered by bytes without end that are no response is broken off', () =>
  assertIsBrokenOff('', 'garbage '));

test('a call whose response body does not end is broken off', () =>
  assertIsBrokenOff(`${RESPONSE_START}\r\n`, 'a'));

test('a call whose chunked response body does not end is broken off', () =>
  assertIsBrokenOff(`${RESPONSE_START}transfer-encoding: chunked\r\n\r\n`, '4\r\nabcd\r\n'));

test('a call whose chunk header does not end is broken off', () =>
  assertIsBrokenOff(`${RESPONSE_START}transfer-encoding: chunked\r\n\r\n4;x=`, 'a'));

// Open events were no part of the budget; 600 of them ended the process.
test('streams that keep an event open are broken off when they exceed the budget together', () =>
  withEndlessServer(`${RESPONSE_START}\r\n`, 'a', async ({ connections }) => {
    const controller = new AbortController();
    const calls = Array.from({ length: 24 }, () => {
      let kept = 0;
      return connections.send({
        method: 'GET',
        path: '/',
        signal: controller.signal,
        onData(chunk) {
          // Each alone stays below the limit of an event.
          kept = Math.min(900_000, kept + chunk.length);
        },
        countKept: () => kept,
      });
    });
    const result = await Promise.race(calls);
    controller.abort();
    assert.equal(result.kind, 'unknown');
    assert.match(result.detail, /bytes of memory/);
    await Promise.all(calls);
  }));
