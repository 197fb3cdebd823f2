import assert from 'node:assert/strict';
import { test } from 'node:test';

import { explainLog, formatLogExplanation, parseLogLine, type LogLine } from './explainLog.js';

const createText = (time: number, host: string, message: string, context: object = {}) =>
  JSON.stringify({ context: { host, ...context }, message, time, version: '2.0.0' });

const texts = [
  createText(8_000, 'a', 'the store is lost', { version: 3 }),
  createText(100, 'a', 'the store is lost', { version: 1 }),
  createText(9_000, 'b', 'a backend server is used no more', { backendServer: 's1' }),
  createText(9_000, 'b', 'a backend server is used no more', { backendServer: 's9' }),
  createText(9_500, 'c', 'link changed', { peer: 'a' }),
  createText(10_000, 'b', 'a call of pieces ended', {
    requestIds: ['r0', 'r1'],
    backendServer: 's1',
  }),
  createText(10_400, 'a', 'request ended', {
    requestId: 'r1',
    status: 503,
    reason: 'overloaded',
    detail: 'too much waits',
    execution: 'not-run',
    durationMs: 402,
  }),
  createText(10_100, 'a', 'request ended', { requestId: 'r2', status: 200 }),
];
const lines = texts.flatMap((text) => parseLogLine(`  10.1 edge-1 ${text}`) ?? []);

test('a request is followed over all hosts, with what they learned before', () => {
  const explanation = explainLog(lines, 'r1');
  assert.equal(
    explanation?.outcome,
    'a answered 503 after 402 ms: overloaded, too much waits (not-run)',
  );
  const summarize = (list: readonly LogLine[] = []) =>
    list.map(({ time, host }) => `${time} ${host}`);
  assert.deepEqual(summarize(explanation.decisions), ['10000 b', '10400 a']);
  assert.deepEqual(summarize(explanation.beliefs), ['8000 a', '9000 b']);
  assert.match(formatLogExplanation(explanation).join('\n'), /-2000 ms {2}a {2}the store is lost/);
});

test('a request whose host died has no end, and the explanation says so', () => {
  const explanation = explainLog(
    lines.filter(({ message }) => message !== 'request ended'),
    'r1',
  );
  assert.match(explanation?.outcome ?? '', /held by a host that was lost/);
});

test('a request that no line names is not explained', () => {
  assert.equal(explainLog(lines, 'r7'), undefined);
});

test('lines of other programs are passed over', () => {
  for (const text of ['', 'built in 2 s', '{"context":{}}', '{ not JSON']) {
    assert.equal(parseLogLine(text), undefined);
  }
});
