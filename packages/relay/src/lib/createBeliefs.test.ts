import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createFakeClock, hostIdSchema, workspaceIdSchema, type Clock } from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';
import fc from 'fast-check';

import { createBeliefs } from './createBeliefs.js';
import { createTrustClock } from './createTrustClock.js';
import type { PublishedDocument } from './RelayConfiguration.js';

setLogWriter(() => undefined);

const REVOCATION_MS = 5_000;

function createDocument(version: number, keys: string[] = ['key']): PublishedDocument {
  return {
    text: `version ${version}`,
    configuration: {
      version,
      routes: [],
      pools: new Map(),
      workspaces: [{ workspaceId: workspaceIdSchema.parse('small'), keys }],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    },
  };
}

function createWorld() {
  const fake = createFakeClock();
  let wallOffsetMs = 0;
  const clock: Clock = { ...fake, wallTime: () => fake.wallTime() + wallOffsetMs };
  const trustClock = createTrustClock(clock);
  const beliefs = createBeliefs({
    trustClock,
    logger: createLogger(hostIdSchema.parse('host'), 'error'),
    findRevocationMs: () => REVOCATION_MS,
    onChange: () => undefined,
  });
  return {
    fake,
    trustClock,
    beliefs,
    stepWallClock: (durationMs: number) => (wallOffsetMs += durationMs),
  };
}

test('keys are honoured until the last confirmation is too old, and again after a new one', async () => {
  const { fake, trustClock, beliefs } = createWorld();
  beliefs.adopt(createDocument(3), trustClock.takeMoment(), 'test');
  assert.ok(beliefs.mayHonourKeys());
  await fake.advance(REVOCATION_MS);
  assert.ok(!beliefs.mayHonourKeys());
  beliefs.confirm(3, trustClock.takeMoment());
  assert.ok(beliefs.mayHonourKeys());
});

test('a suspension that the steady clock missed ends the trust in keys', () => {
  const { trustClock, beliefs, stepWallClock } = createWorld();
  beliefs.adopt(createDocument(3), trustClock.takeMoment(), 'test');
  stepWallClock(REVOCATION_MS);
  assert.ok(!beliefs.mayHonourKeys());
});

test('a time of day that falls back may hide a suspension, so nothing is confirmed', () => {
  const { trustClock, beliefs, stepWallClock } = createWorld();
  beliefs.adopt(createDocument(3), trustClock.takeMoment(), 'test');
  stepWallClock(-2_400);
  assert.equal(beliefs.confirmedAgeMs(), Infinity);
});

test('a confirmation of another version says nothing of the one in force', async () => {
  const { fake, trustClock, beliefs } = createWorld();
  beliefs.adopt(createDocument(3), trustClock.takeMoment(), 'test');
  await fake.advance(REVOCATION_MS);
  beliefs.confirm(2, trustClock.takeMoment());
  assert.ok(!beliefs.mayHonourKeys());
});

test('a version that another host never saw confirmed is in force, but its keys are not', () => {
  const { trustClock, beliefs } = createWorld();
  const never = trustClock.goBack(trustClock.takeMoment(), Infinity);
  beliefs.adopt(createDocument(3), never, 'a host');
  assert.equal(beliefs.version(), 3);
  assert.ok(!beliefs.mayHonourKeys());
});

test('property: whatever order versions come in, the one in force only goes up', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 20 }), (versions) => {
      const { trustClock, beliefs } = createWorld();
      let highest = 0;
      for (const version of versions) {
        beliefs.adopt(createDocument(version), trustClock.takeMoment(), 'test');
        highest = Math.max(highest, version);
        assert.equal(beliefs.version(), highest);
      }
    }),
  );
});
