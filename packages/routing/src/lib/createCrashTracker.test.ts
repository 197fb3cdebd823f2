import assert from 'node:assert/strict';
import { test } from 'node:test';

import { backendServerIdSchema, createFakeClock, hostIdSchema } from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { createCrashTracker } from './createCrashTracker.js';

setLogWriter(() => undefined);

const server = (index: number) => backendServerIdSchema.parse(`server-${index}`);

function createHarness(clock = createFakeClock()) {
  const changes = { count: 0 };
  const tracker = createCrashTracker({
    clock,
    logger: createLogger(hostIdSchema.parse('host'), 'error'),
    onChange: () => (changes.count += 1),
  });
  /** Crashes servers one after the other under requests with the parts, while others are answered. */
  async function crash(parts: readonly string[], count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      tracker.recordCrash(server(index), parts);
      tracker.recordAnswer(['other']);
      await clock.advance(2_000);
    }
  }
  return { clock, tracker, changes, crash };
}

test('blocks a part after three crashes', async () => {
  const { tracker, crash } = createHarness();
  await crash(['shared', 'dead'], 2);
  assert.equal(tracker.findBlockedPart(['dead']), undefined);
  tracker.recordAnswer(['shared']);
  tracker.recordCrash(server(2), ['shared', 'dead']);
  assert.deepEqual(tracker.findBlockedPart(['shared', 'dead']), { partId: 'dead', crashes: 3 });
  assert.equal(tracker.findBlockedPart(['shared']), undefined);
});

test('blocks a part whose crashes are many seconds apart', async () => {
  const { clock, tracker } = createHarness();
  for (let index = 0; index < 3; index += 1) {
    tracker.recordAnswer(['other']);
    tracker.recordCrash(server(index), ['dead']);
    tracker.recordAnswer(['other']);
    await clock.advance(9_000);
  }
  assert.equal(tracker.countBlocked(), 1);
});

test('an answer soon before a crash proves a part sound', async () => {
  const { clock, tracker } = createHarness();
  tracker.recordAnswer(['shared']);
  for (let index = 0; index < 4; index += 1) {
    await clock.advance(2_000);
    tracker.recordCrash(server(index), ['shared']);
  }
  assert.equal(tracker.countBlocked(), 0);
});

test('an answer after the block allows the part again', async () => {
  const { tracker, crash, changes } = createHarness();
  await crash(['slow'], 3);
  assert.equal(tracker.countBlocked(), 1);
  const before = changes.count;
  tracker.recordAnswer(['slow']);
  assert.equal(tracker.countBlocked(), 0);
  assert.ok(changes.count > before, 'other hosts hear of it');
});

test('crashes of several servers at once count once', async () => {
  const { clock, tracker } = createHarness();
  tracker.recordAnswer(['other']);
  for (let index = 0; index < 6; index += 1) {
    tracker.recordCrash(server(index), ['rare']);
    await clock.advance(10);
    tracker.recordAnswer(['other']);
  }
  assert.equal(tracker.countBlocked(), 0);
});

test('a server that restarts under its id crashes more than once', async () => {
  const { clock, tracker } = createHarness();
  for (let index = 0; index < 3; index += 1) {
    tracker.recordCrash(server(0), ['dead']);
    tracker.recordAnswer(['other']);
    await clock.advance(3_000);
  }
  assert.equal(tracker.countBlocked(), 1);
});

// Without any answer the crashes say nothing about a part, and it could not be proven sound again.
test('blocks nothing while no request is answered', async () => {
  const { clock, tracker } = createHarness();
  for (let index = 0; index < 8; index += 1) {
    tracker.recordCrash(server(index), ['shared', `other-${index % 2}`]);
    await clock.advance(2_000);
  }
  assert.equal(tracker.countBlocked(), 0);
});

test('a blocked part explains the crash of the other parts', async () => {
  const { tracker, crash } = createHarness();
  await crash(['dead'], 3);
  await crash(['dead', 'neighbour'], 4);
  assert.equal(tracker.findBlockedPart(['neighbour']), undefined);
});

test('hosts add up their evidence', async () => {
  const clock = createFakeClock();
  const hosts = [0, 1, 2].map(() => createHarness(clock).tracker);
  for (const [index, host] of hosts.entries()) {
    host.recordCrash(server(index), ['dead']);
    for (const other of hosts) {
      other.recordAnswer(['other']);
      other.applyReports(host.listReports(), 'test');
    }
    await clock.advance(1_000);
  }
  for (const host of hosts) assert.equal(host.findBlockedPart(['dead'])?.partId, 'dead');
});

test('a host that starts later adopts a block', async () => {
  const { clock, tracker, crash } = createHarness();
  await crash(['dead'], 3);
  const later = createHarness(clock).tracker;
  later.applyReports(tracker.listReports(), 'test');
  assert.equal(later.findBlockedPart(['dead'])?.partId, 'dead');
});

test('a host that has answered a part corrects the hosts that suspect it', async () => {
  const { clock, tracker: suspecting, crash } = createHarness();
  const { tracker: knowing, changes } = createHarness(clock);
  knowing.recordAnswer(['shared']);
  await crash(['shared'], 3);
  assert.equal(suspecting.countBlocked(), 1);
  knowing.applyReports(suspecting.listReports(), 'test');
  assert.equal(knowing.countBlocked(), 0);
  assert.equal(changes.count, 1);
  suspecting.applyReports(knowing.listReports(), 'test');
  assert.equal(suspecting.countBlocked(), 0);
});

test('one crash seen by several hosts counts once', async () => {
  const clock = createFakeClock();
  const first = createHarness(clock);
  const second = createHarness(clock);
  for (let round = 0; round < 2; round += 1) {
    first.tracker.recordCrash(server(round), ['rare']);
    await clock.advance(400);
    second.tracker.recordCrash(server(round), ['rare']);
    second.tracker.recordAnswer(['other']);
    second.tracker.applyReports(first.tracker.listReports(), 'test');
    await clock.advance(5_000);
  }
  assert.equal(second.tracker.countBlocked(), 0);
});

test('a block ends after its time, although hosts keep reporting it to each other', async () => {
  const { clock, tracker, crash } = createHarness();
  const { tracker: other } = createHarness(clock);
  await crash(['dead'], 3);
  for (let minute = 0; minute < 11; minute += 1) {
    for (let exchange = 0; exchange < 60; exchange += 1) {
      const fromFirst = tracker.listReports();
      const fromOther = other.listReports();
      await clock.advance(1_000);
      other.applyReports(fromFirst, 'test');
      tracker.applyReports(fromOther, 'test');
    }
  }
  assert.equal(tracker.countBlocked() + other.countBlocked(), 0);
  assert.deepEqual(tracker.listReports(), []);
});

test('a report names a bounded number of parts, without overlong ids', async () => {
  const { tracker, crash } = createHarness();
  await crash(['x'.repeat(100)], 3);
  assert.equal(tracker.countBlocked(), 0);
  for (let batch = 0; batch < 10; batch += 1) {
    await crash(
      Array.from({ length: 60 }, (_, index) => `part-${batch}-${index}`),
      1,
    );
  }
  assert.equal(tracker.listReports().length, 64);
});

test('evidence is reported for some seconds, a block while it lasts', async () => {
  const { clock, tracker, crash } = createHarness();
  await crash(['rare'], 1);
  assert.equal(tracker.listReports().length, 1);
  await clock.advance(5_000);
  assert.deepEqual(tracker.listReports(), []);
  tracker.recordCrash(server(1), ['rare']);
  assert.equal(tracker.listReports()[0]?.crashes.length, 2);
  await crash(['dead'], 3);
  await clock.advance(30_000);
  assert.equal(tracker.listReports()[0]?.partId, 'dead');
});

test('a retry that crashes the next server at once counts as another crash', async () => {
  const { clock, tracker } = createHarness();
  tracker.recordAnswer(['other']);
  for (let index = 0; index < 3; index += 1) {
    await clock.advance(60);
    tracker.recordCrash(server(index), ['request'], 55);
    tracker.recordAnswer(['other']);
  }
  assert.equal(tracker.countBlocked(), 1);
});

test('crashes of servers that ran requests at the same time count as one', async () => {
  const { clock, tracker } = createHarness();
  tracker.recordAnswer(['other']);
  for (let index = 0; index < 3; index += 1) {
    await clock.advance(30);
    tracker.recordCrash(server(index), ['request'], 300);
    tracker.recordAnswer(['other']);
  }
  assert.equal(tracker.countBlocked(), 0);
});

test('crashes while nothing is answered block with the next answer', async () => {
  const { clock, tracker } = createHarness();
  for (let index = 0; index < 3; index += 1) {
    tracker.recordCrash(server(index), ['request'], 50);
    await clock.advance(200);
  }
  assert.equal(tracker.countBlocked(), 0);
  tracker.recordAnswer(['other']);
  assert.equal(tracker.countBlocked(), 1);
});
