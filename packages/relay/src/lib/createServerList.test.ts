import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  hostIdSchema,
  poolIdSchema,
} from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { createServerList } from './createServerList.js';
import type { ListedServer } from './RelayConfiguration.js';

setLogWriter(() => undefined);

function createServer(name: string): ListedServer {
  return {
    serverId: backendServerIdSchema.parse(name),
    poolId: poolIdSchema.parse('pool'),
    address: '10.0.0.1:80',
    availabilityZone: availabilityZoneIdSchema.parse('a'),
    slots: 1,
    isLeaving: false,
  };
}

function createHarness() {
  const clock = createFakeClock();
  const logger = createLogger(hostIdSchema.parse('host'), 'error');
  const list = createServerList(clock, logger, () => undefined);
  const names = () => list.list().map(({ serverId }) => serverId);
  return { clock, list, names };
}

const [one, two] = [createServer('one'), createServer('two')];

test('removes a server whose entry is removed', async () => {
  const { clock, list, names } = createHarness();
  list.replace([one, two], 1, 'test');
  await clock.advance(10_000);
  list.apply([{ kind: 'removed', serverId: one.serverId }], 2);
  assert.deepEqual(names(), ['two']);
});

test('keeps servers whose entries expired in an outage, and removes those that do not register again', async () => {
  const { clock, list, names } = createHarness();
  list.replace([one, two], 1, 'test');
  await clock.advance(10_000);
  list.recordStoreRecovery();
  list.replace([], 2, 'test');
  assert.deepEqual(names(), ['one', 'two']);
  await clock.advance(500);
  list.apply([{ kind: 'written', server: one }], 3);
  await clock.advance(2_000);
  assert.deepEqual(names(), ['one']);
});

test('ignores a list of an older revision', () => {
  const { list, names } = createHarness();
  list.replace([one], 5, 'the store');
  list.replace([two], 4, 'a host');
  assert.deepEqual(names(), ['one']);
});
