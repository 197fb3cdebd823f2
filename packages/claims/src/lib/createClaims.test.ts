import assert from 'node:assert/strict';
import { test } from 'node:test';

import { workspaceIdSchema } from '@endiveferry/base';

import {
  createStartedWorld,
  formatVerdict,
  hostA,
  hostB,
  hostC,
  hostIds,
  limits,
  mill,
} from './createClaimsHarness.js';

test('hazard: the same key twice at once at two hosts', async () => {
  const world = await createStartedWorld();
  for (const key of [world.createKeyOf(hostC), world.findHost(hostC).claims.issueKey(mill)]) {
    const both = [world.submit(hostA, key), world.submit(hostB, key)];
    const outcomes = await Promise.all(both.map((outcome) => world.settle(outcome)));
    assert.deepEqual(outcomes.map(formatVerdict), ['answer', 'answer']);
    assert.equal(world.runs.get(key), 1);
  }
});

test('hazard: a forward whose answer is lost', async () => {
  const world = await createStartedWorld();
  const key = world.findHost(hostB).claims.issueKey(mill);
  world.lostAnswers.add(hostB);
  const first = await world.settle(world.submit(hostA, key));
  world.lostAnswers.clear();
  const second = await world.settle(world.submit(hostA, key));
  assert.deepEqual([formatVerdict(first), formatVerdict(second)], ['may-have-run', 'answer']);
  assert.equal(world.runs.get(key), 1);
});

test('hazard: the home restarted with nothing remembered', async () => {
  const world = await createStartedWorld();
  const issued = world.findHost(hostB).claims.issueKey(mill);
  const madeUp = world.createKeyOf(hostB);
  for (const key of [issued, madeUp]) await world.settle(world.submit(hostA, key));
  world.startHost(hostB);
  world.synchronize(hostB);
  for (const key of [issued, madeUp]) {
    const again = await world.settle(world.submit(hostA, key));
    assert.equal(formatVerdict(again), 'may-have-run');
    assert.equal(world.runs.get(key), 1);
  }
});

test('hazard: the home is paused for longer than any timeout and wakes mid-send', async () => {
  const world = await createStartedWorld();
  const key = world.createKeyOf(hostB);
  let wake: () => void = () => undefined;
  world.findHost(hostB).pause = new Promise((resolve) => (wake = resolve));
  const paused = world.submit(hostB, key);
  await world.clock.advance(100);
  world.publish([hostA, hostC]);
  await world.clock.advance(limits.viewValidityMs * 3);
  for (const id of [hostA, hostC]) world.synchronize(id);
  await world.settle(world.submit(hostA, key));
  wake();
  const outcome = await world.settle(paused);
  assert.equal(formatVerdict(outcome), 'not-run');
  assert.ok((world.runs.get(key) ?? 0) <= 1);
});

test('hazard: two hosts hold different revisions of the list', async () => {
  const world = await createStartedWorld();
  world.publish([hostA, hostC]);
  world.synchronize(hostA);
  const key = world.createKeyOf(hostA);
  const outcomes = [
    await world.settle(world.submit(hostA, key)),
    await world.settle(world.submit(hostB, key)),
    await world.settle(world.submit(hostC, key)),
  ];
  assert.ok((world.runs.get(key) ?? 0) <= 1, outcomes.map(formatVerdict).join());
});

test('hazard: a partition with callers on both sides', async () => {
  const world = await createStartedWorld();
  for (const cut of [
    `${hostA}>${hostB}`,
    `${hostA}>${hostC}`,
    `${hostB}>${hostA}`,
    `${hostC}>${hostA}`,
  ]) {
    world.cuts.add(cut);
  }
  const key = world.findHost(hostB).claims.issueKey(mill);
  const cutOff = await world.settle(world.submit(hostA, key));
  const served = await world.settle(world.submit(hostC, key));
  assert.deepEqual([formatVerdict(cutOff), formatVerdict(served)], ['may-have-run', 'answer']);
  assert.equal(world.runs.get(key), 1);
});

test('hazard: a list that goes A, B, A', async () => {
  const world = await createStartedWorld();
  // Host A misses the list under which host B is the home, and the key is run there.
  const key = world.createKeyOf(hostA);
  world.publish([hostB, hostC]);
  for (const id of [hostB, hostC]) world.synchronize(id);
  await world.clock.advance(limits.viewValidityMs * 2);
  for (const id of [hostB, hostC]) world.synchronize(id);
  const young = world.createKeyOf(hostA);
  for (const each of [key, young]) await world.settle(world.submit(hostB, each));
  world.publish(hostIds);
  for (const id of hostIds) world.synchronize(id);
  for (const each of [key, young]) {
    for (const id of hostIds) await world.settle(world.submit(id, each));
    assert.ok((world.runs.get(each) ?? 0) <= 1);
  }
  assert.equal(world.runs.get(young), 1);
});

test('a host that learns its first list long after its start does not run what another home ran', async () => {
  const world = await createStartedWorld();
  world.startHost(hostC);
  await world.clock.advance(limits.viewValidityMs * 2);
  for (const id of [hostA, hostB]) world.synchronize(id);
  const key = world.createKeyOf(hostA);
  world.publish([hostC]);
  world.synchronize(hostC);
  await world.settle(world.submit(hostA, key));
  const second = await world.settle(world.submit(hostC, key));
  assert.equal(formatVerdict(second), 'may-have-run');
  assert.equal(world.runs.get(key), 1);
});

test('a host that stops hands on its records, and unspent keys can still be used', async () => {
  const world = await createStartedWorld();
  const claims = world.findHost(hostB).claims;
  const [spent, unspent] = [claims.issueKey(mill), claims.issueKey(mill)];
  await world.settle(world.submit(hostA, spent));
  const stopped = world.findHost(hostB).processId;
  for (const { hosts, handover } of claims.close([hostA])) {
    assert.deepEqual(hosts, [hostA]);
    world.findHost(hostA).claims.takeOver(handover);
  }
  world.hosts.delete(hostB);
  world.successors.set(stopped, hostA);
  const replay = await world.settle(world.submit(hostC, spent));
  const late = await world.settle(world.submit(hostC, unspent));
  assert.deepEqual([formatVerdict(replay), formatVerdict(late)], ['answer', 'answer']);
  assert.deepEqual([world.runs.get(spent), world.runs.get(unspent)], [1, 1]);
});

test('a hand-over that comes twice does not make a key look unspent', async () => {
  const world = await createStartedWorld();
  const claims = world.findHost(hostB).claims;
  const key = claims.issueKey(mill);
  const stopped = world.findHost(hostB).processId;
  const [plan] = claims.close([hostA]);
  assert.ok(plan !== undefined);
  world.hosts.delete(hostB);
  world.successors.set(stopped, hostA);
  for (let time = 0; time < 2; time += 1) {
    world.findHost(hostA).claims.takeOver(plan.handover);
    await world.settle(world.submit(hostC, key));
  }
  assert.equal(world.runs.get(key), 1);
});

test('a key of another workspace, and one with another body, are refused', async () => {
  const world = await createStartedWorld();
  const foreign = world.findHost(hostA).claims.issueKey(workspaceIdSchema.parse('other'));
  assert.equal(formatVerdict(await world.settle(world.submit(hostB, foreign))), 'not-run');
  assert.equal(formatVerdict(await world.settle(world.submit(hostB, 'chosen-at-will'))), 'not-run');
});
