import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  availabilityZoneIdSchema,
  createFakeClock,
  createRandom,
  hostIdSchema,
  processIdSchema,
  type HostId,
} from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { createMembership } from './createMembership.js';
import type { RelayHeartbeat, ReportedHost } from './messages.js';

setLogWriter(() => undefined);

const own = hostIdSchema.parse('10.0.0.1');
const linked = hostIdSchema.parse('10.0.0.2');
const distant = hostIdSchema.parse('10.0.0.3');

const createHeartbeat = (hosts: ReportedHost[] = [], isStopping = false): RelayHeartbeat => ({
  processId: processIdSchema.parse('process'),
  availabilityZone: availabilityZoneIdSchema.parse('zone'),
  isStopping,
  weight: 1,
  version: 1,
  serversRevision: 1,
  hosts,
  waits: [],
  pending: [],
});

function createWorld(links: HostId[] = [linked]) {
  const clock = createFakeClock();
  const members = createMembership({
    hostId: own,
    clock,
    logger: createLogger(own, 'error'),
    random: createRandom(1),
    onChange: () => undefined,
  });
  members.setLinked(links);
  return { clock, members };
}

test('a host that died got work for as long as others spoke of it', async () => {
  const { clock, members } = createWorld([linked, distant]);
  members.noteHeartbeat(distant, createHeartbeat());
  assert.deepEqual([...members.listLive().keys()], [distant]);
  for (let second = 1; second <= 3; second += 1) {
    await clock.advance(1_000);
    members.noteHeartbeat(linked, createHeartbeat([[distant, second * 1_000, false, 1]]));
    assert.deepEqual([...members.listLive().keys()], [linked]);
  }
});

test('a host that this one has no link to is taken for live by the word of others', async () => {
  const { clock, members } = createWorld();
  members.noteHeartbeat(linked, createHeartbeat([[distant, 2_000, false, 1]]));
  assert.deepEqual([...members.listLive().keys()], [linked, distant]);
  await clock.advance(3_500);
  members.noteHeartbeat(linked, createHeartbeat([[distant, 5_500, false, 1]]));
  assert.deepEqual([...members.listLive().keys()], [linked]);
});

test('old word of a host does not bring it back', async () => {
  const { clock, members } = createWorld();
  members.noteHeartbeat(linked, createHeartbeat([[distant, 9_000, false, 1]]));
  await clock.advance(2_000);
  members.noteHeartbeat(linked, createHeartbeat([[distant, 11_000, false, 1]]));
  assert.deepEqual(members.listKnown(), [linked]);
});

test('a stopping host gets no work, also by the word of others', () => {
  const { members } = createWorld();
  members.noteHeartbeat(linked, createHeartbeat([[distant, 0, true, 1]]));
  assert.deepEqual([...members.listLive().keys()], [linked]);
});

test('a heartbeat tells of a bounded number of hosts, and of all of them by turns', () => {
  const { members } = createWorld();
  const ids = Array.from({ length: 90 }, (_, index) => hostIdSchema.parse(`10.0.1.${index}`));
  for (const id of ids) members.noteHeartbeat(id, createHeartbeat());
  const told = new Set<HostId>();
  for (let turn = 0; turn < 60; turn += 1) {
    const hosts = members.listTold();
    assert.ok(hosts.length <= 16);
    for (const [id] of hosts) told.add(id);
  }
  assert.equal(told.size, 90);
});
