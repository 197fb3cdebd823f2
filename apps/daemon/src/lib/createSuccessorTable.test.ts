import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock, hostIdSchema, processIdSchema } from '@endiveferry/base';

import { createSuccessorTable } from './createSuccessorTable.js';

const host = (name: string) => hostIdSchema.parse(`host-${name}`);
const stopped = processIdSchema.parse('p1');

const createTable = (name: string, clock = createFakeClock()) =>
  createSuccessorTable(host(name), clock, () => 1_000);

test('an entry reaches hosts that are not linked to the successor', () => {
  const [a, b, c] = ['a', 'b', 'c'].map((name) => createTable(name));
  assert.ok(a !== undefined && b !== undefined && c !== undefined);
  b.merge(a.list([{ processId: stopped, generation: 1 }]));
  c.merge(b.list([]));
  assert.equal(c.findSuccessor(stopped), host('a'));
});

test('the entry with the highest generation wins, whichever arrives last', () => {
  const table = createTable('c');
  const first = { processId: stopped, hostId: host('a'), generation: 1 };
  const second = { processId: stopped, hostId: host('b'), generation: 2 };
  table.merge([second]);
  table.merge([first]);
  assert.equal(table.findSuccessor(stopped), host('b'));
});

test('entries are removed once the keys have expired', async () => {
  const clock = createFakeClock();
  const table = createTable('c', clock);
  table.merge([{ processId: stopped, hostId: host('a'), generation: 1 }]);
  await clock.advance(1_001);
  assert.deepEqual(table.list([]), []);
});
