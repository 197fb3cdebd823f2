import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createDelayTracker } from './createDelayTracker.js';
import { createFakeClock } from './createFakeClock.js';

test('the longest recent delay is found until it is too old', async () => {
  const clock = createFakeClock();
  const delays = createDelayTracker(clock);
  assert.equal(delays.findRecentMs(), 0);
  delays.record(700);
  await clock.advance(1_500);
  delays.record(40);
  assert.equal(delays.findRecentMs(), 700);
  await clock.advance(600);
  assert.equal(delays.findRecentMs(), 40);
});
