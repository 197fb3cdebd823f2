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

/** Counts the hops in which an update of one host reaches all; each host sends it to its peers. */
function countHops(hosts: ReturnType<typeof createFleet>): number {
  const [first] = hosts.keys();
  assert.ok(first !== undefined);
  let reached = new Set<HostId>([first]);
  let hops = 0;
  while (reached.size < hosts.size) {
    const next = new Set(reached);
    for (const id of reached) for (const peer of choosePeers(id, hosts)) next.add(peer);
    assert.ok(next.size > reached.size, 'some hosts are unreachable');
    reached = next;
    hops += 1;
  }
  return hops;
}

test('six hosts form a full mesh', () => {
  const hosts = createFleet(6);
  for (const id of hosts.keys()) assert.equal(choosePeers(id, hosts).length, 5);
});

test('the number of links and hops stays logarithmic at 400 hosts', () => {
  const hosts = createFleet(400);
  for (const id of [...hosts.keys()].slice(0, 50)) {
    const peers = choosePeers(id, hosts);
    assert.ok(peers.length <= 11 && !peers.includes(id));
  }
  assert.ok(countHops(hosts) <= 9);
});
