import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Writable } from 'node:stream';
import { test } from 'node:test';

import { runCli } from './runCli.js';

const example = (name: string) => new URL(`../../../../examples/${name}`, import.meta.url).pathname;

async function run(...args: string[]) {
  let output = '';
  const stream = new Writable({
    write(chunk: Buffer, _encoding, done) {
      output += chunk.toString();
      done();
    },
  });
  const exitCode = await runCli(args, { stdout: stream, stderr: stream });
  return { exitCode, output };
}

for (const name of ['urdimbre', 'kakadu']) {
  test(`check finds no issues in the ${name} example`, async () => {
    const { exitCode, output } = await run('check', example(name));
    assert.equal(exitCode, 0, output);
  });
}

test('check prints every issue of a folder with three and fails', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'endiveferry-'));
  const merged = await run('merge', example('urdimbre'));
  await writeFile(join(folder, '10.json'), merged.output);
  await writeFile(
    join(folder, '20.json'),
    JSON.stringify({
      ranks: { urgent: { order: -1 } },
      pipelines: { 'stock-lookup': { rank: 'gone' } },
      colour: 'green',
    }),
  );
  const { exitCode, output } = await run('check', folder);
  await rm(folder, { recursive: true });
  assert.equal(exitCode, 1);
  assert.equal(output.split('\n').filter((line) => line.startsWith('20.json: $.')).length, 3);
  assert.match(output, /: 3 issues/);
});

test('diff prints an empty patch for equal folders and lists removed values', async () => {
  const { exitCode, output } = await run(
    'diff',
    '--json',
    example('urdimbre'),
    example('urdimbre'),
  );
  assert.equal(exitCode, 0);
  assert.deepEqual(JSON.parse(output), { patch: {}, changes: [] });
  const other = await run('diff', example('urdimbre'), example('kakadu'));
  assert.match(other.output, /^- \$\.ranks\.urgent$/m);
});

test('status of an unreachable host fails with a message and without a stack trace', async () => {
  const { exitCode, output } = await run('status', '--operators', '127.0.0.1:1');
  assert.equal(exitCode, 1);
  assert.match(output, /unreachable: request to 127\.0\.0\.1:1 failed: /);
  assert.doesNotMatch(output, /\n {4}at /);
});

// Guards against querying the default address in addition to the given ones.
test('status queries only the given hosts', async () => {
  const { output } = await run('status', '--operators', '127.0.0.1:1');
  assert.doesNotMatch(output, /8081/);
});

test('help lists every command', async () => {
  const { output } = await run('--help');
  for (const name of [
    'check',
    'merge',
    'diff',
    'submit',
    'status',
    'top',
    'explain',
    'drain',
    'completion',
  ]) {
    assert.match(output, new RegExp(`endiveferry ${name}`));
  }
});

// Guards against a stack overflow on large logs.
test('explain reads a log of many thousand lines', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'endiveferry-'));
  const file = join(folder, 'hosts.log');
  const createLine = (requestId: string) =>
    JSON.stringify({ context: { host: 'a', requestId }, message: 'request ended', time: 1 });
  await writeFile(file, `${createLine('r0')}\n`.repeat(200_000) + createLine('r1'));
  const { exitCode, output } = await run('explain', 'r1', '--log', file);
  await rm(folder, { recursive: true });
  assert.equal(exitCode, 0, output);
  assert.match(output, /^r1: a answered/);
});
