import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createMemoryBudget } from './createMemoryBudget.js';

function createHarness() {
  const budget = createMemoryBudget(100);
  const aborted: string[] = [];
  const createHolder = (name: string) => ({ abort: () => void aborted.push(name) });
  return { budget, aborted, createHolder };
}

// Each endless body alone stays below the limit of a response; together they exhausted the memory.
test('endless bodies of many calls are broken off, the largest first', () => {
  const { budget, aborted, createHolder } = createHarness();
  const [small, large, late] = [createHolder('small'), createHolder('large'), createHolder('late')];
  budget.add(small, 30);
  budget.add(large, 60);
  assert.deepEqual(aborted, []);
  budget.add(late, 20);
  assert.deepEqual(aborted, ['large']);
  budget.add(late, 40);
  assert.deepEqual(aborted, ['large']);
  budget.add(late, 20);
  assert.deepEqual(aborted, ['large', 'late']);
});

test('responses that have ended no longer count', () => {
  const { budget, aborted, createHolder } = createHarness();
  const first = createHolder('first');
  budget.add(first, 90);
  budget.release(first);
  budget.add(createHolder('second'), 90);
  assert.deepEqual(aborted, []);
});
