import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';

import {
  createFakeClock,
  createMemoryBudget,
  hostIdSchema,
  processIdSchema,
} from '@endiveferry/base';
import { parseAddress } from '@endiveferry/settings';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';
import { Encoder } from 'cbor-x';

import { PROTOCOL_VERSION } from './messages.js';
import { startPeerListener } from './startPeerListener.js';

setLogWriter(() => undefined);

const BUDGET_BYTES = 100_000;
const processId = processIdSchema.parse('p');
const hello = new Encoder({ useRecords: false }).encode({
  type: 'request',
  id: 1,
  kind: 'hello',
  body: { version: PROTOCOL_VERSION, hostId: '10.0.0.2', processId },
});

function encodePrefix(length: number): Buffer {
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(length);
  return prefix;
}

/** Runs a test with a listener and a function that connects to it. */
async function withListener(
  run: (open: () => Promise<Socket>, clock: ReturnType<typeof createFakeClock>) => Promise<void>,
): Promise<void> {
  const clock = createFakeClock();
  const listener = await startPeerListener({
    address: '127.0.0.1:0',
    keys: () => undefined,
    processId,
    clock,
    logger: createLogger(hostIdSchema.parse('10.0.0.1'), 'error'),
    isListed: () => true,
    handleRequest: () => Promise.resolve(true),
    budget: createMemoryBudget(BUDGET_BYTES),
  });
  const { ip, port } = parseAddress(listener.address);
  const sockets: Socket[] = [];
  const open = async () => {
    const socket = connect(port, ip);
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
    return socket;
  };
  try {
    await run(open, clock);
  } finally {
    for (const socket of sockets) socket.destroy();
    await listener.close();
  }
}

async function openIdentified(open: () => Promise<Socket>): Promise<Socket> {
  const socket = await open();
  socket.write(Buffer.concat([encodePrefix(hello.length), hello]));
  await once(socket, 'data');
  return socket;
}

// Thirty connections that announced 31 MB each took more memory than a host has.
test('a connection that announces a long message before its hello is closed', () =>
  withListener(async (open) => {
    const socket = await open();
    socket.resume();
    socket.write(encodePrefix(31_000_000));
    await once(socket, 'close');
  }));

test('a connection that says no hello is closed', () =>
  withListener(async (open, clock) => {
    const socket = await open();
    socket.resume();
    socket.write(encodePrefix(10).subarray(0, 2));
    // The listener has the connection once it serves a later one.
    await openIdentified(open);
    await clock.advance(5_000);
    await once(socket, 'close');
  }));

test('half messages that exceed the memory of all connections close the largest one', () =>
  withListener(async (open) => {
    const [small, large] = [await openIdentified(open), await openIdentified(open)];
    for (const socket of [small, large]) socket.resume();
    small.write(Buffer.concat([encodePrefix(1_000_000), Buffer.alloc(20_000)]));
    large.write(Buffer.concat([encodePrefix(1_000_000), Buffer.alloc(90_000)]));
    await once(large, 'close');
    assert.equal(small.destroyed, false);
  }));
