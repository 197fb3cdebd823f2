import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  hostIdSchema,
  rankIdSchema,
  workspaceIdSchema,
  readPropertyOptions,
} from '@endiveferry/base';
import fc from 'fast-check';

import { apportionSlots } from './apportionSlots.js';

const ranks = [
  { id: rankIdSchema.parse('urgent'), order: 0, floorShare: 0.3 },
  { id: rankIdSchema.parse('batch'), order: 1, floorShare: 0.2 },
];
const getWeight = () => 1;

const demand = (rankId: string, workspaceId: string, slots: number) => ({
  rankId: rankIdSchema.parse(rankId),
  workspaceId: workspaceIdSchema.parse(workspaceId),
  slots,
});

const demandsArbitrary = fc
  .array(
    fc.array(
      fc
        .tuple(
          fc.constantFrom('urgent', 'batch'),
          fc.constantFrom('a', 'b', 'c'),
          fc.double({ min: 0, max: 50, noNaN: true }),
        )
        .map(([rankId, workspaceId, slots]) => demand(rankId, workspaceId, slots)),
      { maxLength: 6 },
    ),
    { minLength: 1, maxLength: 8 },
  )
  .map(
    (hosts) => new Map(hosts.map((slots, index) => [hostIdSchema.parse(`host-${index}`), slots])),
  );

test('property: the shares add up to the capacity for any demand', () => {
  fc.assert(
    fc.property(demandsArbitrary, fc.integer({ min: 1, max: 64 }), (demands, capacity) => {
      const shares = apportionSlots({ capacity, ranks, getWeight, demands });
      const total = [...shares.values()].reduce((sum, share) => sum + share, 0);
      assert.ok(Math.abs(total - capacity) < 1e-6, `${total} of ${capacity}`);
      assert.ok([...shares.values()].every((share) => share >= 0));
    }),
    readPropertyOptions(5, 300),
  );
});

test('a host with urgent demand gets more slots than one with equal demand of a lower rank', () => {
  const [first, second] = ['host-1', 'host-2'].map((id) => hostIdSchema.parse(id));
  assert.ok(first !== undefined && second !== undefined);
  const demands = new Map([
    [first, [demand('urgent', 'a', 20)]],
    [second, [demand('batch', 'a', 20)]],
  ]);
  const shares = apportionSlots({ capacity: 10, ranks, getWeight, demands });
  assert.deepEqual([shares.get(first), shares.get(second)], [8, 2]);
});

test('high demand of a workspace on one host leaves small workspaces on others their share', () => {
  const [first, second] = ['host-1', 'host-2'].map((id) => hostIdSchema.parse(id));
  assert.ok(first !== undefined && second !== undefined);
  const demands = new Map([
    [first, [demand('urgent', 'large', 100)]],
    [second, [demand('urgent', 'small', 5)]],
  ]);
  const shares = apportionSlots({ capacity: 10, ranks, getWeight, demands });
  assert.deepEqual([shares.get(first), shares.get(second)], [5, 5]);
});
