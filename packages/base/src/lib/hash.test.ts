import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { computeRendezvousOrder } from './hash.js';

const idsArbitrary = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,6}$/), {
  minLength: 2,
  maxLength: 12,
});

// So only the keys whose first choice was the removed candidate move.
test('removing a candidate keeps the order of the others', () => {
  fc.assert(
    fc.property(idsArbitrary, fc.string(), fc.nat(), (ids, key, index) => {
      const removed = ids[index % ids.length];
      const before = computeRendezvousOrder(key, ids);
      const after = computeRendezvousOrder(
        key,
        ids.filter((id) => id !== removed),
      );
      assert.deepEqual(
        after,
        before.filter((id) => id !== removed),
      );
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('the order does not depend on the order of the input', () => {
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
