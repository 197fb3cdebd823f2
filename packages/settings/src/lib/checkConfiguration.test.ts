import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import { readConfiguration } from './checkConfiguration.js';
import { formatConfigurationIssue } from './ConfigurationIssue.js';

const hash = `sha256:${'0'.repeat(64)}`;

function createDocument() {
  return {
    availabilityZones: { north: { region: 'r' } },
    hosts: { 'host-1': { availabilityZone: 'north', peerAddress: '127.0.0.1:1' } },
    ranks: { urgent: { order: 0, deadlineMs: 1_000, floorShare: 0.5, worth: 1 } },
    workspaces: { mill: { weight: 1, keyHashes: [hash] } },
    pools: {
      desk: {
        kind: 'plain-service',
        serverConcurrency: 1,
        backendServers: { 'desk-1': { address: '127.0.0.1:2', availabilityZone: 'north' } },
      },
    },
    pipelines: {
      booking: {
        rank: 'urgent',
        stages: { book: { order: 1, pool: 'desk', path: '/book', isIdempotent: false, input: {} } },
      },
    },
  };
}

async function checkFiles(files: Record<string, unknown>): Promise<string[]> {
  const folder = await mkdtemp(join(tmpdir(), 'endiveferry-'));
  for (const [name, content] of Object.entries(files)) {
    const text = typeof content === 'string' ? content : JSON.stringify(content);
    await writeFile(join(folder, name), text);
  }
  const result = await readConfiguration(folder);
  await rm(folder, { recursive: true });
  return result.isOk() ? [] : result.error.map(formatConfigurationIssue);
}

test('merges files in byte order of their names and removes keys set to null', async () => {
  const issues = await checkFiles({
    'b.json': { ranks: { spare: null } },
    'a.json': {
      ...createDocument(),
      ranks: { ...createDocument().ranks, spare: { order: 'first' } },
    },
    'notes.txt': 'not read',
  });
  assert.deepEqual(issues, []);
});

test('lists three issues of different kinds, each with the file to correct', async () => {
  const issues = await checkFiles({
    '1.json': createDocument(),
    '2.json': { pools: { desk: { kind: 'desk' } } },
    '3.json': { pipelines: { booking: { rank: 'gone' } }, colour: 'green' },
  });
  assert.equal(issues.length, 3);
  assert.match(issues.join('\n'), /2\.json: \$\.pools\.desk\.kind: /);
  assert.match(issues.join('\n'), /3\.json: \$\.colour: unknown key/);
  assert.match(
    issues.join('\n'),
    /3\.json: \$\.pipelines\.booking\.rank: rank gone does not exist/,
  );
});

test('does not report a reference to an invalid pool as a reference to a missing pool', async () => {
  const document = createDocument();
  document.pools.desk.serverConcurrency = 0;
  const issues = await checkFiles({ 'a.json': document });
  assert.equal(issues.length, 1);
  assert.match(issues[0] ?? '', /\$\.pools\.desk\.serverConcurrency/);
});

test('names every file that is not a JSON object', async () => {
  const issues = await checkFiles({ 'a.json': '{', 'b.json': '[]' });
  assert.equal(issues.length, 2);
  assert.match(issues[0] ?? '', /^a\.json: \$: /);
  assert.match(issues[1] ?? '', /^b\.json: \$: must be a JSON object/);
});

test('reports a floor sum over 1, duplicate orders and shared keys', async () => {
  const document = createDocument();
  const issues = await checkFiles({
    'a.json': document,
    'b.json': {
      ranks: { batch: { order: 0, deadlineMs: 1, floorShare: 0.6, worth: 1 } },
      workspaces: { other: { weight: 1, keyHashes: [hash] } },
    },
  });
  assert.match(issues.join('\n'), /floor shares add up to 1\.1/);
  assert.match(issues.join('\n'), /rank urgent has the same order/);
  assert.match(issues.join('\n'), /workspace mill has the same key/);
});

test('rejects a pointer to anything but the request or an earlier stage', async () => {
  const issues = await checkFiles({
    'a.json': createDocument(),
    'b.json': {
      pipelines: {
        booking: { stages: { book: { input: { x: { pointer: '/stages/book/y' } } } } },
      },
    },
  });
  assert.match(issues.join('\n'), /no earlier stage is named book/);
});

test('accepts calls that are not idempotent for plain services only', async () => {
  const issues = await checkFiles({
    'a.json': createDocument(),
    'b.json': {
      pools: { desk: { kind: 'encoder' } },
      pipelines: { booking: { stages: { book: { input: { texts: { value: [] } } } } } },
    },
  });
  assert.match(issues.join('\n'), /may be false for plain services only/);
});
