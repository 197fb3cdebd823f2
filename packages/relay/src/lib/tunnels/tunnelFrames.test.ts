import assert from 'node:assert/strict';
import { test } from 'node:test';

import { readPropertyOptions } from '@endiveferry/base';
import fc from 'fast-check';

import { buildFrameHead, createTunnelReader, END_FRAME, STOP_FRAME } from './tunnelFrames.js';

const bodyArbitrary = fc.uint8Array({ minLength: 1, maxLength: 300 });
const partArbitrary = fc.oneof(bodyArbitrary, fc.constant('stop' as const));

const encodePart = (part: Uint8Array | 'stop') =>
  part === 'stop' ? STOP_FRAME : Buffer.concat([buildFrameHead(part.length), part]);

function readChunks(chunks: readonly Buffer[]) {
  const bytes: Buffer[] = [];
  const marks = { stops: 0, ends: 0 };
  const read = createTunnelReader({
    onBytes: (part) => bytes.push(Buffer.from(part)),
    onStop: () => (marks.stops += 1),
    onEnd: () => (marks.ends += 1),
  });
  chunks.forEach(read);
  return { bytes: Buffer.concat(bytes), ...marks };
}

test('property: frames read alike however the connection splits them', () => {
  fc.assert(
    fc.property(
      fc.array(partArbitrary, { maxLength: 8 }),
      fc.boolean(),
      fc.array(fc.nat({ max: 400 }), { maxLength: 12 }),
      (parts, isEnded, lengths) => {
        const encoded = Buffer.concat([...parts.map(encodePart), ...(isEnded ? [END_FRAME] : [])]);
        const chunks: Buffer[] = [];
        let position = 0;
        for (const length of [...lengths, encoded.length]) {
          chunks.push(encoded.subarray(position, position + length));
          position += length;
        }
        const read = readChunks(chunks);
        const bodies = parts.filter((part) => part !== 'stop');
        assert.ok(read.bytes.equals(Buffer.concat(bodies)));
        assert.equal(read.stops, parts.length - bodies.length);
        assert.equal(read.ends, isEnded ? 1 : 0);
      },
    ),
    readPropertyOptions(7, 300),
  );
});

test('what follows the end mark is ignored', () => {
  const late = Buffer.concat([buildFrameHead(1), Buffer.from('x')]);
  const read = readChunks([Buffer.concat([END_FRAME, late]), END_FRAME]);
  assert.deepEqual([read.bytes.length, read.ends], [0, 1]);
});
