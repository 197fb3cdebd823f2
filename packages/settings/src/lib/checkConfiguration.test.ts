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

test('files are merged in byte order of their names, and null removes', async () => {
  const faults = await checkFiles({
    'b.json': { ranks: { spare: null } },
    'a.json': {
      ...createDocument(),
      ranks: { ...createDocument().ranks, spare: { order: 'first' } },
    },
    'notes.txt': 'not read',
  });
  assert.deepEqual(faults, []);
});

test('three faults of different kinds are all listed, each with the file to mend', async () => {
  const faults = await checkFiles({
    '1.json': createDocument(),
    '2.json': { pools: { desk: { kind: 'desk' } } },
    '3.json': { pipelines: { booking: { rank: 'gone' } }, colour: 'green' },
  });
  assert.equal(faults.length, 3);
  assert.match(faults.join('\n'), /2\.json: \$\.pools\.desk\.kind: /);
  assert.match(faults.join('\n'), /3\.json: \$\.colour: unknown key/);
  assert.match(faults.join('\n'), /3\.json: \$\.pipelines\.booking\.rank: no rank is called gone/);
});

test('a reference to a broken pool is not reported as one to a missing pool', async () => {
  const document = createDocument();
  document.pools.desk.serverConcurrency = 0;
  const faults = await checkFiles({ 'a.json': document });
  assert.equal(faults.length, 1);
  assert.match(faults[0] ?? '', /\$\.pools\.desk\.serverConcurrency/);
});

test('a file that is not JSON is named, and its neighbours too', async () => {
  const faults = await checkFiles({ 'a.json': '{', 'b.json': '[]' });
  assert.equal(faults.length, 2);
  assert.match(faults[0] ?? '', /^a\.json: \$: /);
  assert.match(faults[1] ?? '', /^b\.json: \$: must be a JSON object/);
});

test('floors over the whole, twin orders and shared keys are faults', async () => {
  const document = createDocument();
  const faults = await checkFiles({
    'a.json': document,
    'b.json': {
      ranks: { batch: { order: 0, deadlineMs: 1, floorShare: 0.6, worth: 1 } },
      workspaces: { other: { weight: 1, keyHashes: [hash] } },
    },
  });
  assert.match(faults.join('\n'), /floor shares add up to 1\.1/);
  assert.match(faults.join('\n'), /rank urgent has the same order/);
  assert.match(faults.join('\n'), /the same key belongs to mill/);
});

test('a pointer may only lead to the request or to an earlier stage', async () => {
  const faults = await checkFiles({
    'a.json': createDocument(),
    'b.json': {
      pipelines: {
        booking: { stages: { book: { input: { x: { pointer: '/stages/book/y' } } } } },
      },
    },
  });
  assert.match(faults.join('\n'), /no earlier stage is called book/);
});

test('only plain services may have calls that must not be repeated', async () => {
  const faults = await checkFiles({
    'a.json': createDocument(),
    'b.json': {
      pools: { desk: { kind: 'encoder' } },
      pipelines: { booking: { stages: { book: { input: { texts: { value: [] } } } } } },
    },
  });
  assert.match(faults.join('\n'), /may be false for plain services only/);
});
