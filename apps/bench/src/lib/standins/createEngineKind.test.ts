import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createRandom, poolIdSchema } from '@endiveferry/base';
import { readConfiguration } from '@endiveferry/settings';
import { request } from 'undici';

import { startStandIns } from './startStandIns.js';

const exampleFolder = new URL('../../../../../examples/urdimbre', import.meta.url).pathname;

async function withEngines(run: (addresses: string[]) => Promise<void>): Promise<void> {
  const read = await readConfiguration(exampleFolder);
  assert.ok(read.isOk());
  const standIns = await startStandIns(read.value, createRandom(1), 1);
  try {
    const engines = standIns.listPool(poolIdSchema.parse('models'));
    await run(engines.map(({ address }) => address));
  } finally {
    await standIns.close();
  }
}

async function post(address: string | undefined, path: string, body: unknown) {
  const response = await request(`http://${address ?? ''}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  return { status: response.statusCode, text };
}

test('an engine exports a generation, and another imports it and resumes after the last token', () =>
  withEngines(async ([first, second]) => {
    const body = { request_id: 'r1.generate', prompt: 'a plan', max_tokens: 4 };
    const complete = await post(first, '/v1/completions', body);
    const exported = await post(first, '/v1/kv/export', { request_id: 'r1.generate' });
    assert.equal(exported.status, 200);
    assert.equal((await post(second, '/v1/kv/import', JSON.parse(exported.text))).status, 202);
    const rest = await post(second, '/v1/completions', { ...body, resume: { offset: 2 } });
    assert.ok(complete.text.endsWith(rest.text));
    assert.equal((await post(second, '/v1/kv/export', { request_id: 'none' })).status, 404);
  }));

test('engines with a fencing check reject an order with an old fencing number, others accept it', () =>
  withEngines(async ([checking, ignoring]) => {
    const order = (fencingNumber: number) => ({ fencingNumber, models: [] });
    for (const address of [checking, ignoring]) await post(address, '/v1/orders', order(5));
    assert.equal((await post(checking, '/v1/orders', order(4))).status, 409);
    assert.equal((await post(ignoring, '/v1/orders', order(4))).status, 202);
  }));
