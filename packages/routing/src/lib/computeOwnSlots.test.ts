import assert from 'node:assert/strict';
import { test } from 'node:test';

import { backendServerIdSchema, hostIdSchema, readPropertyOptions } from '@endiveferry/base';
import fc from 'fast-check';

import { chooseSubset } from './chooseSubset.js';
import { computeOwnSlots } from './computeOwnSlots.js';

const createHosts = (count: number) =>
  Array.from({ length: count }, (_value, index) => hostIdSchema.parse(`host-${index}`));
const createServers = (count: number) =>
  Array.from({ length: count }, (_value, index) => backendServerIdSchema.parse(`engine-${index}`));

test('property: each slot belongs to exactly one host for any shares', () => {
  fc.assert(
    fc.property(
      fc.array(fc.double({ min: 0.1, max: 20, noNaN: true }), { minLength: 1, maxLength: 12 }),
      fc.integer({ min: 1, max: 20 }),
      fc.integer({ min: 1, max: 6 }),
      (weights, serverCount, concurrency) => {
        const hosts = createHosts(weights.length);
        const servers = createServers(serverCount);
        const shares = new Map(hosts.map((id, index) => [id, weights[index] ?? 0]));
        const ownedSlots = new Map<string, number>();
        for (const id of hosts) {
          for (const [serverId, count] of computeOwnSlots(id, shares, servers, concurrency)) {
            ownedSlots.set(serverId, (ownedSlots.get(serverId) ?? 0) + count);
          }
        }
        for (const serverId of servers) assert.equal(ownedSlots.get(serverId), concurrency);
      },
    ),
    readPropertyOptions(9, 200),
  );
});

test('subsets cover all servers equally often and the loss of a host changes little', () => {
  const hosts = createHosts(400);
  const servers = createServers(940);
  const hostCounts = new Map(servers.map((id) => [id, 0]));
  const remainingHosts = hosts.slice(1);
  let unchanged = 0;
  let total = 0;
  for (const hostId of remainingHosts) {
    const before = new Set(chooseSubset(hostId, hosts, servers, 20));
    const after = chooseSubset(hostId, remainingHosts, servers, 20);
    for (const id of before) hostCounts.set(id, (hostCounts.get(id) ?? 0) + 1);
    unchanged += after.filter((id) => before.has(id)).length;
    total += after.length;
  }
  const counts = [...hostCounts.values()];
  // Nine hosts cover each server; the removed host is one of them for some.
  assert.ok(Math.min(...counts) >= 8 && Math.max(...counts) <= 9);
  assert.ok(unchanged / total > 0.99, `${unchanged} of ${total}`);
});

test('a pool no larger than the subset size is used in full', () => {
  const [hostId] = createHosts(1);
  assert.ok(hostId !== undefined);
  const servers = createServers(8);
  assert.deepEqual(chooseSubset(hostId, createHosts(6), servers, 20), servers);
});
