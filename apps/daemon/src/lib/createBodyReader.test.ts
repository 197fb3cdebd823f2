import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';

import { createFakeClock, createMemoryBudget, type Failure } from '@endiveferry/base';
import { createMetrics } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import { createBodyReader, type HeldBody } from './createBodyReader.js';

const MEMORY_BYTES = 1_000_000;
const MAX_BYTES = 400_000;
const IDLE_TIMEOUT_MS = 15_000;

type Read = Result<HeldBody, Failure>;

function createHarness() {
  const clock = createFakeClock();
  let isWaiting = false;
  const reader = createBodyReader({
    clock,
    metrics: createMetrics(),
    budget: createMemoryBudget(MEMORY_BYTES),
    maxFreeBlocks: 10,
    pacer: { isWaiting: () => isWaiting },
  });
  const limits = { maxBytes: MAX_BYTES, headerBytes: 500, idleTimeoutMs: IDLE_TIMEOUT_MS };
  const send = (headers: Record<string, string> = {}) => {
    const stream = new PassThrough();
    const socket = { bytesRead: 0 };
    const results: Read[] = [];
    const request = Object.assign(stream, { headers, socket }) as unknown as IncomingMessage;
    void reader.read(request, limits).then((result) => results.push(result));
    return {
      async write(bytes: number, encodedBytes = bytes) {
        socket.bytesRead += encodedBytes;
        stream.write(Buffer.alloc(bytes, 'x'));
        await settle();
      },
      async end() {
        stream.end();
        await settle();
      },
      reason: () => results[0]?.match(({ bytes }) => bytes.length, describe),
      release: () => results[0]?.map((body) => body.release()),
    };
  };
  const setWaiting = (value: boolean) => (isWaiting = value);
  return { clock, reader, send, setWaiting };
}

const describe = ({ reason, execution }: Failure) => `${reason}, ${execution}`;
const settle = () => new Promise((resolve) => setImmediate(() => setImmediate(resolve)));

test('a body in many small chunks arrives complete', async () => {
  const { send } = createHarness();
  const request = send();
  for (let index = 0; index < 50; index += 1) await request.write(1_001);
  await request.end();
  assert.equal(request.reason(), 50_050);
});

test('a body over the limit is rejected, also when its length was not announced', async () => {
  const { send } = createHarness();
  const announced = send({ 'content-length': String(MAX_BYTES + 1) });
  const sent = send();
  for (let index = 0; index < 9; index += 1) await sent.write(50_000);
  assert.equal(announced.reason(), 'body-too-large, not-run');
  assert.equal(sent.reason(), 'body-too-large, not-run');
});

// The largest body may be the only one that still arrives.
test('without memory the body that has stopped is dropped, not the larger one that arrives', async () => {
  const { clock, send } = createHarness();
  const [stopped, active, late] = [send(), send(), send()];
  await stopped.write(200_000);
  await clock.advance(5_000);
  await active.write(390_000);
  await late.write(300_000);
  await late.write(5_000);
  assert.equal(stopped.reason(), undefined);
  await send().write(200_000);
  assert.equal(stopped.reason(), 'overloaded, not-run');
  await active.end();
  assert.equal(active.reason(), 390_000);
});

// A request that has been forwarded may run, so its body cannot be dropped with that promise.
test('complete bodies count until they are released, and are not dropped', async () => {
  const { send } = createHarness();
  const complete = [send(), send()];
  for (const request of complete) {
    await request.write(395_000);
    await request.end();
  }
  const rejected = send();
  await rejected.write(300_000);
  assert.equal(rejected.reason(), 'overloaded, not-run');
  for (const request of complete) request.release();
  const next = send();
  await next.write(300_000);
  await next.end();
  assert.equal(next.reason(), 300_000);
});

test('a body without progress is rejected after the idle timeout', async () => {
  const { clock, send } = createHarness();
  const request = send();
  await request.write(1_000);
  await clock.advance(IDLE_TIMEOUT_MS - 1_000);
  assert.equal(request.reason(), undefined);
  await clock.advance(2_000);
  assert.equal(request.reason(), 'body-timeout, not-run');
});

test('a body of a few bytes per second is rejected', async () => {
  const { clock, send } = createHarness();
  const request = send();
  for (let second = 0; second < 20; second += 1) {
    await request.write(10);
    await clock.advance(1_000);
  }
  assert.equal(request.reason(), 'body-timeout, not-run');
});

test('a body on a slow link that pauses once is served', async () => {
  const { clock, send } = createHarness();
  const request = send();
  for (let second = 0; second < 15; second += 1) {
    await request.write(20_000);
    await clock.advance(second === 7 ? 14_000 : 1_000);
  }
  await request.end();
  assert.equal(request.reason(), 300_000);
});

// A suspended process finds all bodies without progress when it goes on.
test('a pause of this process does not count against a body', async () => {
  const { clock, send } = createHarness();
  const request = send();
  await request.write(1_000);
  clock.jump(60_000);
  await clock.advance(1_000);
  await request.end();
  assert.equal(request.reason(), 1_000);
});

test('a body whose connection waits for others does not time out', async () => {
  const { clock, reader, send, setWaiting } = createHarness();
  const request = send();
  await request.write(1_000);
  setWaiting(true);
  await clock.advance(2 * IDLE_TIMEOUT_MS);
  assert.equal(reader.rejectStopped(), false);
  setWaiting(false);
  await request.end();
  assert.equal(request.reason(), 1_000);
});

// Bodies that had stopped kept all connections until their time was up.
test('room is made by the body that stopped first, not by one that arrives', async () => {
  const { clock, reader, send } = createHarness();
  const [first, second] = [send(), send()];
  await first.write(100);
  await clock.advance(500);
  await second.write(100);
  assert.equal(reader.rejectStopped(), false);
  await clock.advance(1_500);
  const active = send();
  await active.write(200_000);
  assert.deepEqual([reader.rejectStopped(), reader.rejectStopped()], [true, true]);
  await settle();
  assert.equal(first.reason(), 'overloaded, not-run');
  assert.equal(second.reason(), 'overloaded, not-run');
  assert.equal(reader.rejectStopped(), false);
  assert.equal(active.reason(), undefined);
});

// Chunk extensions are no content, so such a body never reaches the size limit.
test('a body with far more bytes around it than in it is rejected', async () => {
  const { clock, send } = createHarness();
  const request = send();
  for (let index = 0; index < 10; index += 1) await request.write(10, 40_000);
  await clock.advance(500);
  assert.equal(request.reason(), 'body-too-large, not-run');
});
