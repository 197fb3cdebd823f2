import assert from 'node:assert/strict';
import { test } from 'node:test';

import { backendServerIdSchema } from '@endiveferry/base';

import { computePrefixes, createPrefixIndex } from './createPrefixIndex.js';

const engine = backendServerIdSchema.parse('engine-1');
const text = (seed: string, blocks: number) => seed.repeat(256 * blocks).slice(0, 256 * blocks);

test('prompts that begin alike share the names of their first blocks', () => {
  const long = computePrefixes(text('a', 3) + text('b', 1));
  const short = computePrefixes(text('a', 3) + text('c', 1));
  assert.equal(long.length, 4);
  assert.deepEqual(long.slice(0, 3), short.slice(0, 3));
  assert.notEqual(long[3], short[3]);
});

test('events that were read already are not applied twice', () => {
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
  assert.equal(index.findHitShare(engine, [first, second]), 0.5);
});

test('after a gap in the events nothing is known of the server any more', () => {
  const index = createPrefixIndex();
  const [first = ''] = computePrefixes(text('a', 1));
  index.applyEvents(engine, { firstSequence: 0, events: [{ prefix: first, isCached: true }] });
  index.applyEvents(engine, { firstSequence: 5, events: [] });
  assert.equal(index.findHitShare(engine, [first]), 0);
});

test('a prompt just sent counts as cached before its event comes', () => {
  const index = createPrefixIndex();
  const prefixes = computePrefixes(text('a', 2));
  index.recordSent(engine, prefixes);
  assert.deepEqual(index.findHolders(prefixes), [engine]);
});
