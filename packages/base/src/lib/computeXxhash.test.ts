import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';
import createXxhash from 'xxhash-wasm';

import { computeXxhash } from './computeXxhash.js';

const xxhash = await createXxhash();

// Hosts of earlier builds place work by the hashes of the library.
test('hashes are those of the library, for texts of any length', () => {
  fc.assert(
    fc.property(
      fc.oneof(fc.string({ unit: 'binary', maxLength: 120 }), fc.string({ maxLength: 2_000 })),
      fc.nat({ max: 2 ** 32 - 1 }),
      (text, seed) => assert.equal(computeXxhash(text, seed), xxhash.h32(text, seed)),
    ),
    { seed: 1, numRuns: 2_000 },
  );
});
