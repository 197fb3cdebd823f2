import assert from 'node:assert/strict';
import { test } from 'node:test';

import { workspaceIdSchema } from '@endiveferry/base';

import {
  createStartedHarness,
  formatVerdict,
  hostA,
  hostB,
  hostC,
  hostIds,
  limits,
  testWorkspaceId,
} from './createClaimsHarness.js';

test('runs a key once that is submitted to two hosts at the same time', async () => {
  const harness = await createStartedHarness();
  for (const key of [
    harness.createKeyOwnedBy(hostC),
    harness.getHost(hostC).claims.issueKey(testWorkspaceId),
  ]) {
    const both = [harness.submit(hostA, key), harness.submit(hostB, key)];
    const outcomes = await Promise.all(both.map((outcome) => harness.settle(outcome)));
    assert.deepEqual(outcomes.map(formatVerdict), ['answer', 'answer']);
    assert.equal(harness.runs.get(key), 1);
  }
});

test('reports may-have-run when the response to a forwarded request is lost', async () => {
  const harness = await createStartedHarness();
  const key = harness.getHost(hostB).claims.issueKey(testWorkspaceId);
  harness.lostAnswers.add(hostB);
  const first = await harness.settle(harness.submit(hostA, key));
  harness.lostAnswers.clear();
  const second = await harness.settle(harness.submit(hostA, key));
  assert.deepEqual([formatVerdict(first), formatVerdict(second)], ['may-have-run', 'answer']);
  assert.equal(harness.runs.get(key), 1);
});

test('does not run a key again after its owner restarted without records', async () => {
  const harness = await createStartedHarness();
  const issued = harness.getHost(hostB).claims.issueKey(testWorkspaceId);
  const callerKey = harness.createKeyOwnedBy(hostB);
  for (const key of [issued, callerKey]) await harness.settle(harness.submit(hostA, key));
  harness.startHost(hostB);
  harness.synchronize(hostB);
  for (const key of [issued, callerKey]) {
    const again = await harness.settle(harness.submit(hostA, key));
    assert.equal(formatVerdict(again), 'may-have-run');
    assert.equal(harness.runs.get(key), 1);
  }
});

test('does not run a request when its owner resumes from a pause longer than any timeout', async () => {
  const harness = await createStartedHarness();
  const key = harness.createKeyOwnedBy(hostB);
  let resume: () => void = () => undefined;
  harness.getHost(hostB).pause = new Promise((resolve) => (resume = resolve));
  const paused = harness.submit(hostB, key);
  await harness.clock.advance(100);
  harness.publish([hostA, hostC]);
  await harness.clock.advance(limits.viewValidityMs * 3);
  for (const id of [hostA, hostC]) harness.synchronize(id);
  await harness.settle(harness.submit(hostA, key));
  resume();
  const outcome = await harness.settle(paused);
  assert.equal(formatVerdict(outcome), 'not-run');
  assert.ok((harness.runs.get(key) ?? 0) <= 1);
});

test('runs a key at most once while hosts have different revisions of the list', async () => {
  const harness = await createStartedHarness();
  harness.publish([hostA, hostC]);
  harness.synchronize(hostA);
  const key = harness.createKeyOwnedBy(hostA);
  const outcomes = [
    await harness.settle(harness.submit(hostA, key)),
    await harness.settle(harness.submit(hostB, key)),
    await harness.settle(harness.submit(hostC, key)),
  ];
  assert.ok((harness.runs.get(key) ?? 0) <= 1, outcomes.map(formatVerdict).join());
});

test('runs a key once in a network partition with callers on both sides', async () => {
  const harness = await createStartedHarness();
  for (const cut of [
    `${hostA}>${hostB}`,
    `${hostA}>${hostC}`,
    `${hostB}>${hostA}`,
    `${hostC}>${hostA}`,
  ]) {
    harness.cuts.add(cut);
  }
  const key = harness.getHost(hostB).claims.issueKey(testWorkspaceId);
  const cutOff = await harness.settle(harness.submit(hostA, key));
  const served = await harness.settle(harness.submit(hostC, key));
  assert.deepEqual([formatVerdict(cutOff), formatVerdict(served)], ['may-have-run', 'answer']);
  assert.equal(harness.runs.get(key), 1);
});

test('runs a key at most once when the list changes from A to B and back to A', async () => {
  const harness = await createStartedHarness();
  // Host A misses the list under which host B owns the key and runs it.
  const key = harness.createKeyOwnedBy(hostA);
  harness.publish([hostB, hostC]);
  for (const id of [hostB, hostC]) harness.synchronize(id);
  await harness.clock.advance(limits.viewValidityMs * 2);
  for (const id of [hostB, hostC]) harness.synchronize(id);
  const newKey = harness.createKeyOwnedBy(hostA);
  for (const each of [key, newKey]) await harness.settle(harness.submit(hostB, each));
  harness.publish(hostIds);
  for (const id of hostIds) harness.synchronize(id);
  for (const each of [key, newKey]) {
    for (const id of hostIds) await harness.settle(harness.submit(id, each));
    assert.ok((harness.runs.get(each) ?? 0) <= 1);
  }
  assert.equal(harness.runs.get(newKey), 1);
});

test('a host that receives its first list late does not run a key that a host with an older list ran', async () => {
  const harness = await createStartedHarness();
  harness.startHost(hostC);
  await harness.clock.advance(limits.viewValidityMs * 2);
  for (const id of [hostA, hostB]) harness.synchronize(id);
  const key = harness.createKeyOwnedBy(hostA);
  harness.publish([hostC]);
  harness.synchronize(hostC);
  await harness.settle(harness.submit(hostA, key));
  const second = await harness.settle(harness.submit(hostC, key));
  assert.equal(formatVerdict(second), 'may-have-run');
  assert.equal(harness.runs.get(key), 1);
});

test('hands over the records of a stopping host and keeps its unused keys usable', async () => {
  const harness = await createStartedHarness();
  const claims = harness.getHost(hostB).claims;
  const [used, unused] = [claims.issueKey(testWorkspaceId), claims.issueKey(testWorkspaceId)];
  await harness.settle(harness.submit(hostA, used));
  const stopped = harness.getHost(hostB).processId;
  for (const { hosts, handover } of claims.close([hostA])) {
    assert.deepEqual(hosts, [hostA]);
    harness.getHost(hostA).claims.takeOver(handover);
  }
  harness.hosts.delete(hostB);
  harness.successors.set(stopped, hostA);
  const replay = await harness.settle(harness.submit(hostC, used));
  const late = await harness.settle(harness.submit(hostC, unused));
  assert.deepEqual([formatVerdict(replay), formatVerdict(late)], ['answer', 'answer']);
  assert.deepEqual([harness.runs.get(used), harness.runs.get(unused)], [1, 1]);
});

test('ignores a repeated handover, so that a used key stays used', async () => {
  const harness = await createStartedHarness();
  const claims = harness.getHost(hostB).claims;
  const key = claims.issueKey(testWorkspaceId);
  const stopped = harness.getHost(hostB).processId;
  const [plan] = claims.close([hostA]);
  assert.ok(plan !== undefined);
  harness.hosts.delete(hostB);
  harness.successors.set(stopped, hostA);
  for (let time = 0; time < 2; time += 1) {
    harness.getHost(hostA).claims.takeOver(plan.handover);
    await harness.settle(harness.submit(hostC, key));
  }
  assert.equal(harness.runs.get(key), 1);
});

test('rejects a key of another workspace and a key that is neither issued nor a UUID', async () => {
  const harness = await createStartedHarness();
  const foreign = harness.getHost(hostA).claims.issueKey(workspaceIdSchema.parse('other'));
  assert.equal(formatVerdict(await harness.settle(harness.submit(hostB, foreign))), 'not-run');
  assert.equal(
    formatVerdict(await harness.settle(harness.submit(hostB, 'chosen-at-will'))),
    'not-run',
  );
});
