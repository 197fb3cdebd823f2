import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock } from './createFakeClock.js';
import { createStallMonitor } from './createStallMonitor.js';

test('a stall is reported once with its duration, and a running process reports none', async () => {
  const clock = createFakeClock();
  const stalls: number[] = [];
  const controller = new AbortController();
  const running = createStallMonitor(clock, 2_000, (ms) => stalls.push(ms))(controller.signal);
  await clock.advance(10_000);
  assert.equal(stalls.length, 0);
  clock.jump(15_000);
  await clock.advance(1_000);
  assert.equal(stalls.length, 1);
  assert.ok((stalls[0] ?? 0) >= 14_800);
  controller.abort();
  await clock.advance(1_000);
  await running;
});
