import assert from 'node:assert/strict';
import { test } from 'node:test';

import { poolIdSchema, requestIdSchema } from '@endiveferry/base';

import { rejectUnattainable, type QueueEstimates } from './rejectUnattainable.js';
import type { PieceGroup } from './WaitingGroup.js';

const follower = poolIdSchema.parse('next');
const group: PieceGroup = {
  requestId: requestIdSchema.parse('r1'),
  stageIndex: 0,
  pieceCount: 1,
  rank: 1,
  key: 'key',
  inputs: undefined,
  homeZone: undefined,
  movedBytes: 0,
  inputsExpireAt: Infinity,
  isEntry: true,
  followers: [follower],
  resultBytes: 1,
  endAt: 15_000,
  targetEndAt: 2_000,
};
const choice: QueueEstimates = {
  now: 0,
  soloMs: 300,
  waits: [
    { rank: 1, waitMs: 500 },
    { rank: 2, waitMs: 900 },
  ],
  estimateWaitMs: (_poolId, rank) => (rank >= 2 ? 4_000 : 1_400),
};

test('what cannot meet its target is refused at once, with the time when all waits are over', () => {
  const refusal = rejectUnattainable(group, choice);
  assert.equal(refusal?.execution, 'not-run');
  assert.equal(refusal.reason, 'overloaded');
  assert.equal(refusal.retryAfterMs, 4_900);
});

test('less urgent work that waits does not count', () => {
  const estimateWaitMs: QueueEstimates['estimateWaitMs'] = (_poolId, rank) =>
    rank >= 2 ? 9_000 : 0;
  assert.equal(rejectUnattainable(group, { ...choice, estimateWaitMs }), undefined);
});

test('a request that something was done for is never refused here', () => {
  assert.equal(rejectUnattainable({ ...group, isEntry: false }, choice), undefined);
});

test('a request that is late by itself is served while nothing waits', () => {
  const idle = { ...choice, waits: [], estimateWaitMs: () => 0 };
  assert.equal(rejectUnattainable({ ...group, targetEndAt: 10 }, idle), undefined);
});
