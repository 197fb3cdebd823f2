import assert from 'node:assert/strict';
import { test } from 'node:test';

import { formatPath, listIssues } from './ConfigurationIssue.js';
import { processSettingsSchema } from './processSettings.js';

const base = {
  hostId: 'host-1',
  availabilityZone: 'salto',
  callers: { address: '127.0.0.1:8080' },
  peers: { address: '127.0.0.1:7200' },
  operators: { address: '127.0.0.1:8081' },
  platform: { url: 'http://127.0.0.1:9000' },
};

const listPaths = (settings: unknown): string[] => {
  const checked = processSettingsSchema.safeParse(settings);
  return checked.success ? [] : listIssues(checked.error).map(({ keys }) => formatPath(keys));
};

test('settings on loopback need neither TLS nor a token', () => {
  assert.deepEqual(listPaths(base), []);
});

test('hosts that talk off loopback need mutual TLS, and operators a token', () => {
  const open = { peers: { address: '10.0.0.1:7200' }, operators: { address: '10.0.0.1:8081' } };
  assert.deepEqual(listPaths({ ...base, ...open }), ['$.peers.tls', '$.operators.token']);
});

test('unknown keys and names in place of IP numbers are refused', () => {
  const wrong = { ...base, callers: { address: 'localhost:8080' }, colour: 'green' };
  assert.deepEqual(listPaths(wrong).sort(), ['$.callers.address', '$.colour']);
});
