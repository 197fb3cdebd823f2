import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';

import { createFakeClock, createSystemClock } from '@endiveferry/base';

import { createOnDemandConnections } from './createOnDemandConnections.js';
import { createPeerConnection } from './createPeerConnection.js';
import { hostB } from './startTestNetwork.js';

// All stages that waited for a reply over the connection failed at the end of its lifetime.
test('a connection whose lifetime ends is closed only after its pending requests', async () => {
  let reply: (body: string) => void = () => undefined;
  const server = createServer((socket) => {
    createPeerConnection(socket, createSystemClock(), () => {
      return new Promise((resolve) => {
        reply = resolve;
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const clock = createFakeClock();
  const connections = createOnDemandConnections(clock, () =>
    Promise.resolve(
      createPeerConnection(connect(port, '127.0.0.1'), createSystemClock(), () =>
        Promise.resolve(),
      ),
    ),
  );
  const first = await connections.get(hostB);
  await first.request('ping', {}, 5_000);
  const pending = first.request('run-pieces', {}, 5_000);
  // The reply to the ping shows that the request before it was received.
  await first.request('ping', {}, 5_000);
  await clock.advance(31_000);
  assert.equal(first.isOpen(), true);
  assert.notEqual(await connections.get(hostB), first);
  reply('done');
  assert.equal((await pending).unwrapOr(undefined), 'done');
  await first.closed;
  connections.close();
  server.close();
});
