import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { parsePeerMessage, peerMessageSchema } from './messages.js';

const valueArbitrary = fc.oneof(fc.anything(), fc.integer(), fc.string(), fc.boolean());
const messageArbitrary = fc.record(
  {
    type: fc.oneof(fc.constantFrom('request', 'reply', 'refusal'), valueArbitrary),
    id: fc.oneof(fc.integer(), fc.constantFrom(2 ** 53, 1.5, NaN), valueArbitrary),
    kind: fc.oneof(fc.constantFrom('hello', 'ping', 'run-pieces', 'toString'), valueArbitrary),
    body: valueArbitrary,
    detail: fc.oneof(fc.string(), valueArbitrary),
    isNotice: fc.oneof(fc.boolean(), valueArbitrary),
  },
  { requiredKeys: [] },
);

// The check that each message passes must not accept what the schema rejects.
test('the fast check of messages agrees with their schema', () => {
  fc.assert(
    fc.property(fc.oneof(messageArbitrary, fc.anything()), (value) => {
      const isAccepted = parsePeerMessage(value) !== undefined;
      assert.equal(isAccepted, peerMessageSchema.safeParse(value).success);
    }),
    { seed: 1, numRuns: 5_000 },
  );
});
