import assert from 'node:assert/strict';
import { test } from 'node:test';

import { backendServerIdSchema } from '@endiveferry/base';

import { computePrefixes, createPrefixIndex } from './createPrefixIndex.js';

const engine = backendServerIdSchema.parse('engine-1');
const text = (seed: string, blocks: number) => seed.repeat(256 * blocks).slice(0, 256 * blocks);

test('prompts with a common prefix share the hashes of its blocks', () => {
  const long = computePrefixes(text('a', 3) + text('b', 1));
  const short = computePrefixes(text('a', 3) + text('c', 1));
  assert.equal(long.length, 4);
  assert.deepEqual(long.slice(0, 3), short.slice(0, 3));
  assert.notEqual(long[3], short[3]);
});

test('events that were already applied are not applied again', () => {
  const index = createPrefixIndex();
  const [first = '', second = ''] = computePrefixes(text('a', 2));
  index.applyEvents(engine, { firstSequence: 0, events: [{ prefix: first, isCached: true }] });
  index.applyEvents(engine, {
    firstSequence: 0,
    events: [
      { prefix: first, isCached: true },
      { prefix: second, isCached: true },
      { prefix: second, isCached: false },
    ],
  });
  assert.equal(index.computeHitRatio(engine, [first, second]), 0.5);
});

test('a gap in the events clears the prefixes of the server', () => {
  const index = createPrefixIndex();
  const [first = ''] = computePrefixes(text('a', 1));
  index.applyEvents(engine, { firstSequence: 0, events: [{ prefix: first, isCached: true }] });
  index.applyEvents(engine, { firstSequence: 5, events: [] });
  assert.equal(index.computeHitRatio(engine, [first]), 0);
});

test('a prompt counts as cached once sent, before its event arrives', () => {
  const index = createPrefixIndex();
  const prefixes = computePrefixes(text('a', 2));
  index.recordSent(engine, prefixes);
  assert.deepEqual(index.findHolders(prefixes), [engine]);
});
