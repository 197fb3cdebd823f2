import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readPropertyOptions } from '@endiveferry/base';
import fc from 'fast-check';

import { createFrameReader } from './createFrameReader.js';

const MAX_BYTES = 1_000;

function encodeFrame(body: Uint8Array): Buffer {
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(body.length);
  return Buffer.concat([prefix, body]);
}

function createHarness() {
  const frames: Buffer[] = [];
  const kept: number[] = [];
  const read = createFrameReader({
    onFrame: (frame) => frames.push(Buffer.from(frame)),
    findMaxBytes: () => MAX_BYTES,
    onKept: (bytes) => kept.push(bytes),
  });
  return { frames, kept, read };
}

test('property: frames read alike however the connection splits them', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 8 }),
      fc.array(fc.nat({ max: 200 }), { maxLength: 20 }),
      (bodies, lengths) => {
        const { frames, kept, read } = createHarness();
        const encoded = Buffer.concat(bodies.map(encodeFrame));
        let position = 0;
        for (const length of [...lengths, encoded.length]) {
          assert.ok(read(encoded.subarray(position, position + length)));
          position = Math.min(encoded.length, position + length);
        }
        assert.deepEqual(
          frames,
          bodies.map((body) => Buffer.from(body)),
        );
        assert.equal(kept.at(-1) ?? 0, 0);
      },
    ),
    readPropertyOptions(11, 300),
  );
});

test('a frame that is longer than allowed is refused at its prefix', () => {
  const { read } = createHarness();
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(MAX_BYTES + 1);
  assert.equal(read(prefix), false);
});

test('the bytes of an incomplete frame are reported', () => {
  const { frames, kept, read } = createHarness();
  const frame = encodeFrame(Buffer.alloc(100, 'a'));
  read(frame.subarray(0, 60));
  read(frame.subarray(60, 90));
  read(frame.subarray(90));
  assert.deepEqual(kept, [60, 90, 0]);
  assert.equal(frames.length, 1);
});
