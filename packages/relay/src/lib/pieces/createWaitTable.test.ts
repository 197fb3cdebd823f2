import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock, poolIdSchema } from '@endiveferry/base';

import { createWaitTable } from './createWaitTable.js';

const poolId = poolIdSchema.parse('pool');
const createWaits = (waitMs: number) => [{ rank: 1, waitMs }];

test('waiting times of a dispatcher without a link are passed on by others', async () => {
  const clock = createFakeClock();
  const [first, second] = [createWaitTable(clock), createWaitTable(clock)];
  first.record({ poolId, ageMs: 0, byRank: createWaits(700) });
  await clock.advance(500);
  for (const told of first.list()) second.record(told);
  assert.equal(second.find(poolId, 1), 700);
  assert.equal(second.find(poolId, 0), 0);
  assert.equal(second.list()[0]?.ageMs, 500);
});

test('older waiting times that come by another way change nothing', () => {
  const table = createWaitTable(createFakeClock());
  table.record({ poolId, ageMs: 100, byRank: createWaits(700) });
  table.record({ poolId, ageMs: 900, byRank: createWaits(50) });
  assert.equal(table.find(poolId, 1), 700);
  table.record({ poolId, ageMs: 0, byRank: [] });
  assert.equal(table.find(poolId, 1), 0);
});

test('waiting times of a dispatcher that is gone are forgotten', async () => {
  const clock = createFakeClock();
  const table = createWaitTable(clock);
  table.record({ poolId, ageMs: 0, byRank: createWaits(700) });
  await clock.advance(3_000);
  assert.equal(table.find(poolId, 1), 0);
  assert.deepEqual(table.list(), []);
});
