import assert from 'node:assert/strict';
import { test } from 'node:test';

import { hostIdSchema, readPropertyOptions } from '@endiveferry/base';
import { hostListSchema } from '@endiveferry/directory';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';
import fc from 'fast-check';

import { createControlState } from './createControlState.js';

setLogWriter(() => undefined);

const createDocument = (deadlineMs: number) => ({
  availabilityZones: { north: { region: 'r' } },
  hosts: { 'host-1': { availabilityZone: 'north', peerAddress: '127.0.0.1:1' } },
  ranks: { urgent: { order: 0, deadlineMs, floorShare: 0, worth: 1 } },
  workspaces: {},
  pools: {},
  pipelines: {},
});

function createFixture() {
  const confirmed: number[] = [];
  let changes = 0;
  const control = createControlState({
    logger: createLogger(hostIdSchema.parse('host-1'), 'error'),
    onChange: () => (changes += 1),
    onConfirm: (asOfMs) => confirmed.push(asOfMs),
  });
  return { control, confirmed, countChanges: () => changes };
}

const createList = (revision: number, asOf: string, state: 'live' | 'leaving' = 'live') =>
  hostListSchema.parse({ revision, asOf, hosts: { 'host-1': { state } } });

test('property: the revision in force never decreases and is always valid', () => {
  const revisionArbitrary = fc.record({ revision: fc.nat(20), isValid: fc.boolean() });
  fc.assert(
    fc.property(fc.array(revisionArbitrary, { maxLength: 40 }), (published) => {
      const { control } = createFixture();
      let before = 0;
      for (const { revision, isValid } of published) {
        const document = isValid ? createDocument(revision + 1) : { ranks: 'none' };
        control.applyConfiguration({ revision, document }, 'platform');
        const now = control.published()?.revision ?? 0;
        assert.ok(now >= before);
        before = now;
        const deadlineMs = Object.values(control.configuration()?.ranks ?? {})[0]?.deadlineMs;
        if (control.published() !== undefined) assert.equal(deadlineMs, now + 1);
      }
    }),
    readPropertyOptions(10, 200),
  );
});

test('an invalid revision is reported with its issues, and the last valid one stays in force', () => {
  const { control } = createFixture();
  control.applyConfiguration({ revision: 1, document: createDocument(5) }, 'platform');
  control.applyConfiguration({ revision: 2, document: { colour: 'green' } }, 'platform');
  assert.equal(control.published()?.revision, 1);
  assert.equal(control.rejected()?.revision, 2);
  assert.ok((control.rejected()?.issues.length ?? 0) > 1);
  control.applyConfiguration({ revision: 3, document: createDocument(6) }, 'platform');
  assert.equal(control.rejected(), undefined);
});

test('an older host list from a stale source changes and confirms nothing', () => {
  const { control, confirmed, countChanges } = createFixture();
  control.applyConfiguration({ revision: 1, document: createDocument(5) }, 'platform');
  control.applyHostList(createList(2, '2026-01-01T00:00:10Z', 'leaving'), 'platform');
  const changes = countChanges();
  control.applyHostList(createList(1, '2026-01-01T00:00:20Z'), 'platform');
  assert.equal(countChanges(), changes);
  assert.equal(control.listHosts().size, 0);
  assert.deepEqual(confirmed, [Date.parse('2026-01-01T00:00:10Z')]);
});

test('only later confirmations of the host list in force are passed on', () => {
  const { control, confirmed } = createFixture();
  control.applyHostList(createList(1, '2026-01-01T00:00:10Z'), 'platform');
  control.confirmHostList(1, Date.parse('2026-01-01T00:00:15Z'));
  control.confirmHostList(1, Date.parse('2026-01-01T00:00:12Z'));
  control.confirmHostList(2, Date.parse('2026-01-01T00:00:30Z'));
  assert.equal(confirmed.length, 2);
});
