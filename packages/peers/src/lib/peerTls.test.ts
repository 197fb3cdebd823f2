import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { createSupervisor, createSystemClock, type HostId } from '@endiveferry/base';
import { setLogWriter } from '@endiveferry/telemetry';

import type { PeerNetwork } from './PeerNetwork.js';
import { hostA, hostB, startTestNetwork } from './startTestNetwork.js';
import { type Heartbeat } from './messages.js';
import type { TlsKeys } from './openPeerSocket.js';

setLogWriter(() => undefined);

const clock = createSystemClock();

function readKeys(name: string): TlsKeys {
  const read = (file: string) =>
    readFileSync(new URL(`../../fixtures/${file}.pem`, import.meta.url), 'utf8');
  return { certificate: read(name), key: read(`${name}.key`), authority: read('authority') };
}

/** Starts host B as listener, and host A with the given credentials as caller. */
async function withHosts(
  callerKeys: TlsKeys | undefined,
  run: (
    caller: PeerNetwork<Heartbeat>,
    listener: PeerNetwork<Heartbeat>,
    setKeys: (keys: TlsKeys) => void,
  ) => Promise<void>,
): Promise<void> {
  const addresses = new Map<HostId, string>();
  const supervisor = createSupervisor('test', { clock, onCrash: () => undefined });
  let listenerKeys = readKeys('host-b');
  const start = (hostId: HostId, keys: () => TlsKeys | undefined) =>
    startTestNetwork(hostId, {
      supervisor,
      keys,
      findAddress: (id) => addresses.get(id),
      buildHeartbeat: () => assert.fail('no heartbeat is sent here'),
      handleRequest: () => Promise.resolve('done'),
    });
  const listener = await start(hostB, () => listenerKeys);
  addresses.set(hostB, listener.address);
  const caller = await start(hostA, () => callerKeys);
  try {
    await run(caller, listener, (keys) => (listenerKeys = keys));
  } finally {
    await caller.close();
    await listener.close();
    await supervisor.stop();
  }
}

const sendRequest = (caller: PeerNetwork<Heartbeat>) =>
  caller.request(hostB, 'read-configuration', {}, 2_000);

test('hosts with certificates of the same authority can exchange requests', () =>
  withHosts(readKeys('host-a'), async (caller) => {
    assert.equal((await sendRequest(caller)).unwrapOr('refused'), 'done');
  }));

test('a host with a certificate of another authority is rejected', () =>
  withHosts(readKeys('forged-host-a'), async (caller) => {
    assert.ok((await sendRequest(caller)).isErr());
  }));

test('a host whose certificate names another host is rejected', () =>
  withHosts(readKeys('host-b'), async (caller) => {
    assert.ok((await sendRequest(caller)).isErr());
  }));

test('a host without TLS is rejected', () =>
  withHosts(undefined, async (caller) => {
    assert.ok((await sendRequest(caller)).isErr());
  }));

test('a listener that presents the certificate of another host is rejected', () =>
  withHosts(readKeys('host-a'), async (caller, listener, setKeys) => {
    setKeys(readKeys('host-a'));
    listener.reloadKeys();
    assert.ok((await sendRequest(caller)).isErr());
  }));

test('reloaded keys apply to new connections without a restart', () =>
  withHosts(readKeys('host-a'), async (caller, listener, setKeys) => {
    setKeys(readKeys('host-a'));
    listener.reloadKeys();
    assert.ok((await sendRequest(caller)).isErr());
    setKeys(readKeys('host-b'));
    listener.reloadKeys();
    assert.equal((await sendRequest(caller)).unwrapOr('refused'), 'done');
  }));
