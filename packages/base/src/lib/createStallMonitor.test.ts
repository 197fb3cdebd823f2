import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock } from './createFakeClock.js';
import { createStallMonitor } from './createStallMonitor.js';

test('a process that stood still is told how long, and one that runs is told nothing', async () => {
  const clock = createFakeClock();
  const pauses: number[] = [];
  const stop = new AbortController();
  const watching = createStallMonitor(clock, 2_000, (ms) => pauses.push(ms))(stop.signal);
  await clock.advance(10_000);
  assert.equal(pauses.length, 0);
  clock.jump(15_000);
  await clock.advance(1_000);
  assert.equal(pauses.length, 1);
  assert.ok((pauses[0] ?? 0) >= 14_800);
  stop.abort();
  await clock.advance(1_000);
  await watching;
});
