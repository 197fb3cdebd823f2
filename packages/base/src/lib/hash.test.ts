import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { computeRendezvousOrder } from './hash.js';

const idsArbitrary = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,6}$/), {
  minLength: 2,
  maxLength: 12,
});

test('losing a candidate moves only the keys that it had', () => {
  fc.assert(
    fc.property(idsArbitrary, fc.string(), fc.nat(), (ids, key, index) => {
      const lost = ids[index % ids.length];
      const before = computeRendezvousOrder(key, ids);
      const after = computeRendezvousOrder(
        key,
        ids.filter((id) => id !== lost),
      );
      assert.deepEqual(
        after,
        before.filter((id) => id !== lost),
      );
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('the order does not depend on how candidates are listed', () => {
  fc.assert(
    fc.property(idsArbitrary, fc.string(), (ids, key) => {
      assert.deepEqual(
        computeRendezvousOrder(key, [...ids].reverse()),
        computeRendezvousOrder(key, ids),
      );
    }),
    { seed: 2, numRuns: 200 },
  );
});
