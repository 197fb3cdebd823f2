import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock } from '@endiveferry/base';

import { createKeepaliveMonitor } from './createKeepaliveMonitor.js';

const SILENCE_MS = 900;

function createWorld() {
  const clock = createFakeClock();
  const world = { isDue: true, pings: 0, isGivenUp: false };
  const watch = createKeepaliveMonitor(clock, SILENCE_MS, {
    needsReplies: () => world.isDue,
    ask: () => (world.pings += 1),
    close: () => (world.isGivenUp = true),
  });
  return { clock, world, watch };
}

test('a host without power held requests until their own deadlines', async () => {
  const { clock, world, watch } = createWorld();
  watch.start();
  await clock.advance(SILENCE_MS);
  assert.equal(world.isGivenUp, true);
  assert.equal(world.pings, 2);
});

test('a slow reply is waited for while the other side answers pings', async () => {
  const { clock, world, watch } = createWorld();
  watch.start();
  for (let step = 0; step < 20; step += 1) {
    await clock.advance(SILENCE_MS / 3);
    watch.noteHeard();
  }
  assert.equal(world.isGivenUp, false);
});

test('nothing is asked while no reply is due', async () => {
  const { clock, world, watch } = createWorld();
  watch.start();
  world.isDue = false;
  await clock.advance(SILENCE_MS * 3);
  assert.deepEqual(world, { isDue: false, pings: 0, isGivenUp: false });
});

test('a process that stood still itself does not give the other side up', async () => {
  const { clock, world, watch } = createWorld();
  watch.start();
  clock.jump(SILENCE_MS * 5);
  await clock.advance(0);
  watch.noteHeard();
  await clock.advance(SILENCE_MS / 2);
  assert.equal(world.isGivenUp, false);
});
