import assert from 'node:assert/strict';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import { createLineWriter } from './createLineWriter.js';

// A process that flushed during a write exited without its last lines.
test('a flush during a write resolves when all lines are written', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'line-writer-'));
  const path = join(folder, 'log');
  const fileDescriptor = openSync(path, 'w');
  const lines = createLineWriter(fileDescriptor);
  lines.write('first');
  void lines.flush();
  lines.write('second');
  await lines.flush();
  assert.equal(readFileSync(path, 'utf8'), 'first\nsecond\n');
  closeSync(fileDescriptor);
  rmSync(folder, { recursive: true });
});
