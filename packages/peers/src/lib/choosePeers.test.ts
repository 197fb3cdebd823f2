import assert from 'node:assert/strict';
import { test } from 'node:test';

import { availabilityZoneIdSchema, hostIdSchema, type HostId } from '@endiveferry/base';

import { choosePeers } from './choosePeers.js';

const createFleet = (count: number) =>
  new Map(
    Array.from({ length: count }, (_value, index) => [
      hostIdSchema.parse(`host-${index}`),
      availabilityZoneIdSchema.parse(`zone-${index % 6}`),
    ]),
  );

/** Steps until news of one host has reached all, each host telling those it is linked to. */
function countSteps(hosts: ReturnType<typeof createFleet>): number {
  const [first] = hosts.keys();
  assert.ok(first !== undefined);
  let reached = new Set<HostId>([first]);
  let steps = 0;
  while (reached.size < hosts.size) {
    const next = new Set(reached);
    for (const id of reached) for (const peer of choosePeers(id, hosts)) next.add(peer);
    assert.ok(next.size > reached.size, 'some host is out of reach');
    reached = next;
    steps += 1;
  }
  return steps;
}

test('six hosts are linked fully', () => {
  const hosts = createFleet(6);
  for (const id of hosts.keys()) assert.equal(choosePeers(id, hosts).length, 5);
});

test('at 400 hosts links and steps grow with the logarithm only', () => {
  const hosts = createFleet(400);
  for (const id of [...hosts.keys()].slice(0, 50)) {
    const peers = choosePeers(id, hosts);
    assert.ok(peers.length <= 11 && !peers.includes(id));
  }
  assert.ok(countSteps(hosts) <= 9);
});
