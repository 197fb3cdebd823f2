import assert from 'node:assert/strict';
import { test } from 'node:test';

import { waitFor } from './clock.js';
import { createFakeClock } from './createFakeClock.js';
import { createSupervisor } from './createSupervisor.js';

test('a task that throws is restarted and reported with its path', async () => {
  const clock = createFakeClock();
  const crashes: string[] = [];
  const supervisor = createSupervisor('root', { clock, onCrash: (path) => crashes.push(path) });
  let starts = 0;
  supervisor.createChild('pools').spawn('reader', async (signal) => {
    starts += 1;
    if (starts < 3) throw new Error('simulated crash');
    await waitFor(clock, 1_000_000, signal);
  });
  await clock.advance(1_000);
  assert.equal(starts, 3);
  assert.deepEqual(crashes, ['root/pools/reader', 'root/pools/reader']);
  await supervisor.stop();
});

test('stop ends all tasks in reverse order of their start', async () => {
  const clock = createFakeClock();
  const ended: string[] = [];
  const supervisor = createSupervisor('root', { clock, onCrash: () => undefined });
  for (const name of ['first', 'second']) {
    supervisor.spawn(name, async (signal) => {
      await waitFor(clock, 1_000_000, signal);
      ended.push(name);
    });
  }
  await supervisor.stop();
  assert.deepEqual(ended, ['second', 'first']);
});
