// Runs all compiled tests. Tests listed in KNOWN-RED.txt may fail; the names of those that do are
// printed.
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

import { listTests } from './list-tests.mjs';

// A test file that hangs must not keep the run from ending.
const TEST_TIMEOUT_MS = 120_000;
// Tests that measure a process run alone: others beside them would change what they measure.
const ISOLATED_SUFFIX = '.isolated.test.js';
const CONCURRENCY = 4;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return new Set(
    lines.flatMap((line) => (line.startsWith('test: ') ? [line.slice(6).trim()] : [])),
  );
}

const knownRed = readKnownRed();
const files = listTests();
let failed = 0;
const knownFailures = [];

function runFiles(paths, concurrency) {
  const stream = run({
    files: paths.map((path) => join(process.cwd(), path)),
    concurrency,
    timeout: TEST_TIMEOUT_MS,
  });
  stream.on('test:fail', ({ name, details }) => {
    // A file or suite also fails when one of its tests does; only the test itself is counted.
    if (details.type === 'suite' || name.endsWith('.test.js')) {
      if (details.error?.failureType !== 'subtestsFailed') failed += 1;
    } else if (knownRed.has(name)) knownFailures.push(name);
    else failed += 1;
  });
  const ended = new Promise((resolve) => stream.on('end', resolve));
  stream.compose(new spec()).pipe(process.stdout, { end: false });
  return ended;
}

const isIsolated = (path) => path.endsWith(ISOLATED_SUFFIX);
await runFiles(
  files.filter((path) => !isIsolated(path)),
  CONCURRENCY,
);
await runFiles(files.filter(isIsolated), 1);
for (const name of knownFailures) console.log(`known failure, ignored: ${name}`);
process.exitCode = failed > 0 ? 1 : 0;
