import assert from 'node:assert/strict';
import { test } from 'node:test';

import { computeWeightedOrder, hostIdSchema } from '@endiveferry/base';

import { computeHostWeight } from './computeHostWeight.js';

test('dispatchers of a large fleet ran on hosts a quarter as fast as others', () => {
  const weights = new Map(
    Array.from({ length: 70 }, (_, index) => [
      hostIdSchema.parse(`10.0.0.${index}`),
      computeHostWeight({ cores: index % 7 === 0 ? 1.35 : 0.324, linkMbps: 140 }),
    ]),
  );
  const keys = Array.from({ length: 200 }, (_, index) => `pool-${index}`);
  const large = keys.filter(
    (key) =>
      (weights.get(computeWeightedOrder(key, weights)[0] ?? hostIdSchema.parse('none')) ?? 0) > 1,
  );
  assert.ok(large.length > keys.length * 0.85, `${large.length} on large hosts`);
});

test('a fast host behind a thin link is hardly ever a dispatcher', () => {
  const thin = computeHostWeight({ cores: 1.35, linkMbps: 7 });
  assert.ok(thin < computeHostWeight({ cores: 0.324, linkMbps: 140 }));
  assert.ok(thin > 0);
});

test('hosts of one size share the work evenly', () => {
  const hosts = Array.from({ length: 6 }, (_, index) => hostIdSchema.parse(`10.0.0.${index}`));
  const weights = new Map(
    hosts.map((id) => [id, computeHostWeight({ cores: 0.675, linkMbps: 1_000 })]),
  );
  const firsts = Array.from(
    { length: 600 },
    (_, index) => computeWeightedOrder(`pool-${index}`, weights)[0],
  );
  for (const id of hosts) assert.ok(firsts.filter((first) => first === id).length > 60);
});
