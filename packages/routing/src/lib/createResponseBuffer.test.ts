import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createResponseBuffer } from './createResponseBuffer.js';

test('property: the buffer holds all chunks in order', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 9_000 })), (chunks) => {
      const buffer = createResponseBuffer();
      for (const chunk of chunks) buffer.append(Buffer.from(chunk));
      const expected = Buffer.concat(chunks);
      assert.equal(buffer.size(), expected.length);
      assert.ok(buffer.read().equals(expected));
    }),
  );
});

// Chunks of a few bytes were kept as views, each of which held a whole read buffer.
test('a received chunk is not kept', () => {
  const buffer = createResponseBuffer();
  const readBuffer = Buffer.alloc(65_536, 'a');
  buffer.append(readBuffer.subarray(0, 4));
  readBuffer.fill('b');
  assert.equal(buffer.read().toString(), 'aaaa');
});
