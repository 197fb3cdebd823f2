import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createStateMachine } from './createStateMachine.js';

const createDoor = (changes: string[]) =>
  createStateMachine<'open' | 'shut', 'push' | 'pull'>(
    'shut',
    { shut: { push: 'open' }, open: { pull: 'shut' } },
    (current, previous) => changes.push(`${previous}>${current}`),
  );

test('an event without a transition is ignored and send returns false', () => {
  const changes: string[] = [];
  const door = createDoor(changes);
  assert.equal(door.send('pull'), false);
  assert.equal(door.current(), 'shut');
  assert.deepEqual(changes, []);
});

test('each transition is reported with its previous state', () => {
  const changes: string[] = [];
  const door = createDoor(changes);
  assert.ok(door.send('push'));
  assert.ok(door.send('pull'));
  assert.deepEqual(changes, ['shut>open', 'open>shut']);
});
