import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { CallResult } from '@endiveferry/routing';

import type { ResponseMetadata } from './ports.js';
import { findExecution, readAttempt } from './readAttempt.js';

const sound: ResponseMetadata = {
  isRejection: false,
  isMisdirected: false,
  isInputLost: false,
  isSigned: true,
  requestId: 'r1',
  load: undefined,
  isEventStream: false,
};

function read(status: number, change: Partial<ResponseMetadata> = {}) {
  const result: CallResult = { kind: 'answered', status, headers: {}, body: Buffer.from('x') };
  return readAttempt(result, 'r1', { parseResponse: () => ({ ...sound, ...change }) });
}

test('a signed answer of success to this request is a success', () => {
  assert.equal(read(200).kind, 'success');
});

test('an answer that names another request proves nothing of this one', () => {
  const end = read(200, { requestId: 'r2' });
  assert.equal(end.kind, 'broken');
  assert.equal(findExecution(end), 'may-have-run');
});

test('an unsigned success is not passed on', () => {
  assert.equal(read(200, { isSigned: false }).kind, 'broken');
});

test('a status that promises "not run" counts only with the server’s own mark', () => {
  for (const status of [408, 429, 503]) {
    assert.equal(findExecution(read(status)), 'may-have-run');
    assert.equal(findExecution(read(status, { isRejection: true, isSigned: false })), 'not-run');
  }
  assert.equal(findExecution(read(421, { isMisdirected: true, isSigned: false })), 'not-run');
});

test('a signed failure is passed on, and only a server’s error may be tried elsewhere', () => {
  const [missing, failed] = [read(404), read(500)];
  assert.ok(missing.kind === 'failure-answer' && !missing.isServerError);
  assert.ok(failed.kind === 'failure-answer' && failed.isServerError);
});

test('a call without an answer may have run unless nothing of it was sent', () => {
  const lost = { reason: 'connection-lost', detail: 'lost' } as const;
  const protocol = { parseResponse: () => sound };
  assert.equal(
    findExecution(readAttempt({ kind: 'unknown', ...lost }, 'r1', protocol)),
    'may-have-run',
  );
  assert.equal(
    findExecution(readAttempt({ kind: 'not-sent', ...lost }, 'r1', protocol)),
    'not-run',
  );
});
