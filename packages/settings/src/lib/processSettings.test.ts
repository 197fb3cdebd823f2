import assert from 'node:assert/strict';
import { test } from 'node:test';

import { formatPath, listIssues } from './ConfigurationIssue.js';
import { processSettingsSchema } from './processSettings.js';

const loopbackSettings = {
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

test('requires neither TLS nor a token on loopback addresses', () => {
  assert.deepEqual(listPaths(loopbackSettings), []);
});

test('requires mutual TLS for peers and a token for operators on other addresses', () => {
  const exposed = { peers: { address: '10.0.0.1:7200' }, operators: { address: '10.0.0.1:8081' } };
  assert.deepEqual(listPaths({ ...loopbackSettings, ...exposed }), [
    '$.peers.tls',
    '$.operators.token',
  ]);
});

test('rejects unknown keys, and host names where IP addresses are required', () => {
  const invalid = { ...loopbackSettings, callers: { address: 'localhost:8080' }, colour: 'green' };
  assert.deepEqual(listPaths(invalid).sort(), ['$.callers.address', '$.colour']);
});
