import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request as requestTls } from 'node:https';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import { processSettingsSchema } from '@endiveferry/settings';
import { setLogWriter } from '@endiveferry/telemetry';

import { createDaemon } from './createDaemon.js';
import type { Daemon } from './Daemon.js';

setLogWriter(() => undefined);

const ANY_PORT = '127.0.0.1:0';
const OPERATORS_TOKEN = 'a-token-of-operators';
const exampleFolder = new URL('../../../../examples/urdimbre', import.meta.url).pathname;
const fixture = (name: string) =>
  new URL(`../../../../packages/peers/fixtures/${name}.pem`, import.meta.url).pathname;

async function withDaemon(settings: object, run: (daemon: Daemon) => Promise<void>): Promise<void> {
  const daemon = await createDaemon({
    settings: processSettingsSchema.parse({
      hostId: 'host-1',
      availabilityZone: 'salto',
      callers: { address: ANY_PORT },
      peers: { address: ANY_PORT },
      operators: { address: ANY_PORT },
      platform: { folder: exampleFolder },
      logLevel: 'error',
      ...settings,
    }),
    readinessGraceMs: 1,
  });
  try {
    await run(daemon);
  } finally {
    await daemon.kill();
  }
}

const get = (address: string, path: string, token?: string) =>
  fetch(`http://${address}${path}`, {
    headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
  });

test('operators need the configured token, health checks never do', () =>
  withDaemon({ operators: { address: ANY_PORT, token: OPERATORS_TOKEN } }, async (daemon) => {
    const { operators } = daemon.addresses;
    assert.equal((await get(operators, '/v1/status')).status, 401);
    assert.equal((await get(operators, '/metrics', 'wrong')).status, 401);
    assert.equal((await get(operators, '/v1/status', OPERATORS_TOKEN)).status, 200);
    assert.equal((await get(operators, '/healthz')).status, 200);
  }));

test('an invalid folder keeps the daemon from becoming ready, and its errors are logged', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'endiveferry-'));
  await writeFile(join(folder, 'a.json'), '{ "colour": "green" }');
  const lines: string[] = [];
  setLogWriter((line) => lines.push(line));
  await withDaemon({ platform: { folder } }, async (daemon) => {
    assert.equal((await get(daemon.addresses.operators, '/readyz')).status, 503);
  });
  setLogWriter(() => undefined);
  await rm(folder, { recursive: true });
  assert.match(lines.join('\n'), /a\.json: \$\.colour: unknown key/);
});

test('callers are served over TLS when certificate files are configured', () =>
  withDaemon(
    {
      callers: {
        address: ANY_PORT,
        tls: { certificateFile: fixture('host-a'), keyFile: fixture('host-a.key') },
      },
    },
    async (daemon) => {
      const [ip = '', port = ''] = daemon.addresses.callers.split(':');
      const status = await new Promise<number | undefined>((resolve, reject) => {
        const call = requestTls(
          { host: ip, port: Number(port), path: '/', rejectUnauthorized: false },
          (response) => {
            response.resume();
            resolve(response.statusCode);
          },
        );
        call.on('error', reject);
        call.end();
      });
      assert.equal(status, 404);
    },
  ));

test('the log contains request ids, but no token, key or body', async () => {
  const lines: string[] = [];
  setLogWriter((line) => lines.push(line));
  await withDaemon({ logLevel: 'trace' }, async (daemon) => {
    await daemon.waitUntilReady();
    const body = JSON.stringify({ lot: 'a-secret-lot' });
    await fetch(`http://${daemon.addresses.callers}/v1/pipelines/stock-lookup/requests`, {
      method: 'POST',
      headers: {
        authorization: 'Bearer demo-taller-salto',
        'idempotency-key': 'a-secret-key',
        'endiveferry-deadline-ms': '100',
      },
      body,
    });
  });
  setLogWriter(() => undefined);
  const text = lines.join('\n');
  // Guards against a log without any lines, which would also pass the next check.
  assert.match(text, /"requestId"/);
  assert.doesNotMatch(text, /demo-taller-salto|a-secret/);
});

// The end of its connection was read only after the request had been started.
test('a request whose caller left before the host read it is not run', async () => {
  const lines: string[] = [];
  setLogWriter((line) => lines.push(line));
  await withDaemon({ logLevel: 'trace' }, async (daemon) => {
    await daemon.waitUntilReady();
    const [ip = '', port = ''] = daemon.addresses.callers.split(':');
    const socket = connect(Number(port), ip);
    await new Promise((resolve) => socket.once('connect', resolve));
    await new Promise((resolve) => setTimeout(resolve, 20));
    const linesBefore = lines.length;
    socket.write(
      'POST /v1/pipelines/stock-lookup/requests HTTP/1.1\r\nhost: a\r\n' +
        'authorization: Bearer demo-taller-salto\r\nendiveferry-deadline-ms: 100\r\n' +
        'content-length: 2\r\n\r\n{}',
    );
    socket.destroy();
    const listRequestLines = () =>
      lines.slice(linesBefore).filter((line) => line.includes('"requestId"'));
    while (listRequestLines().length === 0) await new Promise((resolve) => setTimeout(resolve, 10));
    assert.match(listRequestLines()[0] ?? '', /its caller left before/);
  });
  setLogWriter(() => undefined);
});
