import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock, createRandom } from '@endiveferry/base';

import { createServerHealth } from './createServerHealth.js';

const createHealth = () => {
  const clock = createFakeClock();
  return { clock, health: createServerHealth(clock, createRandom(1), () => undefined) };
};

test('failures interrupted by successes do not eject a server', () => {
  const { health } = createHealth();
  for (let round = 0; round < 10; round += 1) {
    health.recordFailure(true);
    health.recordFailure(true);
    health.recordSuccess();
  }
  assert.equal(health.state(), 'healthy');
});

test('consecutive failures eject a server and its concurrency recovers gradually', async () => {
  const { clock, health } = createHealth();
  for (let count = 0; count < 3; count += 1) health.recordFailure(true);
  assert.deepEqual([health.state(), health.maxConcurrency()], ['ejected', 0]);
  await clock.advance(4_000);
  assert.deepEqual([health.state(), health.maxConcurrency()], ['probation', 1]);
  for (let count = 0; count < 4; count += 1) health.recordSuccess();
  assert.deepEqual([health.state(), health.maxConcurrency()], ['probation', 5]);
  health.recordSuccess();
  assert.equal(health.state(), 'healthy');
});

test('a failure on probation ejects the server again, for longer', async () => {
  const { clock, health } = createHealth();
  for (let count = 0; count < 3; count += 1) health.recordFailure(true);
  await clock.advance(4_000);
  health.recordFailure(health.state() === 'probation');
  assert.equal(health.state(), 'ejected');
  await clock.advance(3_900);
  assert.equal(health.state(), 'ejected');
});

test('a server is not ejected if too much of the pool is ejected already', () => {
  const { health } = createHealth();
  for (let count = 0; count < 10; count += 1) health.recordFailure(false);
  assert.equal(health.state(), 'healthy');
});
