import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readPropertyOptions } from '@endiveferry/base';
import fc from 'fast-check';

import { createRetryBudget } from './createRetryBudget.js';

test('property: retries exceed their share of first attempts at most by the maximum balance', () => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (steps) => {
      const budget = createRetryBudget(() => 0.1);
      for (const isRetry of steps) {
        if (isRetry) budget.tryWithdraw();
        else budget.recordFirstAttempt();
        const { firstTries, retries } = budget.counts();
        assert.ok(retries <= 0.1 * firstTries + 20 + 1e-9);
      }
    }),
    readPropertyOptions(6, 200),
  );
});
