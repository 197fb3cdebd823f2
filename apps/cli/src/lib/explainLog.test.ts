import assert from 'node:assert/strict';
import { test } from 'node:test';

import { explainLog, formatLogExplanation, parseLogLine, type LogLine } from './explainLog.js';

const createLogText = (time: number, host: string, message: string, context: object = {}) =>
  JSON.stringify({ context: { host, ...context }, message, time, version: '2.0.0' });

const texts = [
  createLogText(8_000, 'a', 'the store is unreachable', { version: 3 }),
  createLogText(100, 'a', 'the store is unreachable', { version: 1 }),
  createLogText(9_000, 'b', 'backend server removed', { backendServer: 's1' }),
  createLogText(9_000, 'b', 'backend server removed', { backendServer: 's9' }),
  createLogText(9_500, 'c', 'link changed', { peer: 'a' }),
  createLogText(10_000, 'b', 'batched piece call ended', {
    requestIds: ['r0', 'r1'],
    backendServer: 's1',
  }),
  createLogText(10_400, 'a', 'request ended', {
    requestId: 'r1',
    status: 503,
    reason: 'overloaded',
    detail: 'queue is full',
    execution: 'not-run',
    durationMs: 402,
  }),
  createLogText(10_100, 'a', 'request ended', { requestId: 'r2', status: 200 }),
];
const lines = texts.flatMap((text) => parseLogLine(`  10.1 edge-1 ${text}`) ?? []);

test('explains a request over all hosts, with the state changes before it', () => {
  const explanation = explainLog(lines, 'r1');
  assert.equal(
    explanation?.outcome,
    'a answered 503 after 402 ms: overloaded, queue is full (not-run)',
  );
  const summarize = (list: readonly LogLine[] = []) =>
    list.map(({ time, host }) => `${time} ${host}`);
  assert.deepEqual(summarize(explanation.decisions), ['10000 b', '10400 a']);
  assert.deepEqual(summarize(explanation.beliefs), ['8000 a', '9000 b']);
  assert.match(
    formatLogExplanation(explanation).join('\n'),
    /-2000 ms {2}a {2}the store is unreachable/,
  );
});

test('reports a possibly lost host for a request whose end no host logged', () => {
  const explanation = explainLog(
    lines.filter(({ message }) => message !== 'request ended'),
    'r1',
  );
  assert.match(explanation?.outcome ?? '', /held by a host that was lost/);
});

for (const message of [
  'request ended',
  'request rejected at admission',
  'request refused at the door',
]) {
  test(`recognizes "${message}" as the end of a request`, () => {
    const context = { requestId: 'r3', reason: 'draining', detail: 'this host is stopping' };
    const line = parseLogLine(createLogText(11_000, 'a', message, context));
    assert.ok(line);
    assert.equal(
      explainLog([...lines, line], 'r3')?.outcome,
      'a answered without a status: draining, this host is stopping',
    );
  });
}

test('returns undefined for a request that no line refers to', () => {
  assert.equal(explainLog(lines, 'r7'), undefined);
});

test('returns undefined for lines of other programs', () => {
  for (const text of ['', 'built in 2 s', '{"context":{}}', '{ not JSON']) {
    assert.equal(parseLogLine(text), undefined);
  }
});
