import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  hostIdSchema,
  poolIdSchema,
  requestIdSchema,
  type BackendServerId,
} from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import type { PieceRequest } from '../ports.js';
import type { ListedServer, StageCapacity } from '../RelayConfiguration.js';
import { createPieceDispatcher } from './createPieceDispatcher.js';
import type { PiecesAnswer } from './PieceDispatcher.js';
import type { PieceGroup } from './WaitingGroup.js';

setLogWriter(() => undefined);

const capacity: StageCapacity = {
  slots: 1,
  batch: 10,
  callMs: 240,
  pieceMs: 10,
  resultMemoryBytes: 1_000_000,
  resultTtlMs: 4_000,
};
const zoneA = availabilityZoneIdSchema.parse('a');
const zoneB = availabilityZoneIdSchema.parse('b');

function createServer(name: string, change: Partial<ListedServer> = {}): ListedServer {
  return {
    serverId: backendServerIdSchema.parse(name),
    poolId: poolIdSchema.parse('pool'),
    address: `10.0.0.1:${name.length}`,
    availabilityZone: zoneA,
    slots: 1,
    isLeaving: false,
    ...change,
  };
}

interface SentCall {
  readonly server: ListedServer;
  readonly pieces: readonly PieceRequest[];
  readonly answer: (answer: PiecesAnswer) => void;
}

function createWorld() {
  const clock = createFakeClock();
  const calls: SentCall[] = [];
  const freed: string[] = [];
  const gone: BackendServerId[] = [];
  const dispatcher = createPieceDispatcher({
    poolId: poolIdSchema.parse('pool'),
    clock,
    logger: createLogger(hostIdSchema.parse('host'), 'error'),
    sendPieces: (server, pieces) =>
      new Promise((resolve) => {
        calls.push({ server, pieces, answer: resolve });
      }),
    sendFree: (_server, handles) => freed.push(...handles),
    onGone: (serverId) => gone.push(serverId),
    mayRepeat: () => true,
    estimateWaitMs: () => 0,
  });
  function run(
    name: string,
    change: Partial<PieceGroup> = {},
    signal = new AbortController().signal,
    onInputsFetched?: () => void,
  ) {
    return dispatcher.run(
      {
        requestId: requestIdSchema.parse(name),
        stageIndex: 0,
        pieceCount: 2,
        rank: 1,
        key: 'key',
        inputs: undefined,
        homeZone: undefined,
        movedBytes: 0,
        inputsExpireAt: Infinity,
        isEntry: false,
        followers: [],
        resultBytes: 1_000,
        endAt: clock.now() + 10_000,
        targetEndAt: clock.now() + 3_000,
        ...change,
      },
      signal,
      onInputsFetched,
    );
  }
  const answerAll = (call: SentCall | undefined) =>
    call?.answer({
      kind: 'answered',
      outcomes: call.pieces.map(({ requestId, pieceIndex }) => ({
        kind: 'made',
        handle: `${requestId}/${pieceIndex}`,
      })),
    });
  const settle = () => clock.advance(0);
  return { clock, calls, freed, gone, dispatcher, run, answerAll, settle };
}

test('pieces of requests that wait meet in one call', async () => {
  const { dispatcher, calls, run, answerAll, settle } = createWorld();
  dispatcher.update(capacity, [createServer('one')]);
  const first = run('r1');
  const second = run('r2');
  const third = run('r3');
  assert.equal(calls.length, 1);
  answerAll(calls[0]);
  await first;
  await settle();
  assert.deepEqual(
    calls[1]?.pieces.map(({ requestId, pieceIndex }) => [requestId, pieceIndex]),
    [
      ['r2', 0],
      ['r2', 1],
      ['r3', 0],
      ['r3', 1],
    ],
  );
  answerAll(calls[1]);
  const handles = (await third).map((results) => results.map(({ handle }) => handle));
  assert.deepEqual(handles.unwrapOr([]), ['r3/0', 'r3/1']);
  assert.ok((await second).isOk());
});

test('a replica that began to leave after it was listed got pieces', () => {
  const { dispatcher, calls, run } = createWorld();
  dispatcher.update(capacity, [createServer('one')]);
  dispatcher.update(capacity, [createServer('one', { isLeaving: true })]);
  void run('r1');
  assert.equal(calls.length, 0);
  dispatcher.update(capacity, [createServer('one', { isLeaving: true }), createServer('second')]);
  assert.deepEqual(
    calls.map(({ server }) => server.serverId),
    ['second'],
  );
});

test('pieces of a call that failed are made by another replica', async () => {
  const { dispatcher, calls, run, answerAll, settle } = createWorld();
  dispatcher.update(capacity, [createServer('one'), createServer('second')]);
  const result = run('r1');
  calls[0]?.answer({ kind: 'failed', detail: 'the connection ended' });
  await settle();
  assert.notEqual(calls[1]?.server.serverId, calls[0]?.server.serverId);
  answerAll(calls[1]);
  assert.ok((await result).isOk());
});

test('a replica whose address another one has is told of and not asked again', async () => {
  const { dispatcher, calls, gone, run, settle } = createWorld();
  dispatcher.update(capacity, [createServer('one')]);
  void run('r1');
  calls[0]?.answer({ kind: 'gone' });
  await settle();
  assert.deepEqual(gone, ['one']);
  assert.equal(calls.length, 1);
});

test('a request that is given up leaves the queue, and its finished pieces are freed', async () => {
  const { dispatcher, calls, freed, run, answerAll, settle } = createWorld();
  dispatcher.update(capacity, [createServer('one')]);
  const running = new AbortController();
  const waiting = new AbortController();
  const first = run('r1', {}, running.signal);
  const second = run('r2', {}, waiting.signal);
  waiting.abort();
  assert.equal((await second)._unsafeUnwrapErr().reason, 'cancelled');
  running.abort();
  await first;
  answerAll(calls[0]);
  await settle();
  assert.deepEqual(freed.sort(), ['r1/0', 'r1/1']);
  assert.equal(calls.length, 1);
});

test('a call takes no more results than there is room for', async () => {
  const { dispatcher, calls, run, answerAll, settle } = createWorld();
  dispatcher.update({ ...capacity, resultMemoryBytes: 5_000 }, [createServer('one')]);
  const first = run('r1');
  void run('r2');
  void run('r3');
  answerAll(calls[0]);
  const results = (await first)._unsafeUnwrap();
  await settle();
  // Two results lie there, so three more find room: one request's two.
  assert.equal(calls[1]?.pieces.length, 2);
  answerAll(calls[1]);
  await settle();
  assert.equal(calls.length, 2);
  dispatcher.free(results);
  await settle();
  assert.equal(calls[2]?.pieces.length, 2);
});

test('a request whose time is over is refused while it waits', async () => {
  const { clock, dispatcher, run } = createWorld();
  dispatcher.update(capacity, []);
  const result = run('r1', { endAt: 500 });
  await clock.advance(600);
  assert.equal((await result)._unsafeUnwrapErr().reason, 'deadline-exceeded');
  assert.equal(dispatcher.countWaiting(), 0);
});

test('a group waits a moment for a replica in the zone of its inputs', async () => {
  const { clock, dispatcher, calls, run, answerAll } = createWorld();
  dispatcher.update(capacity, [
    createServer('near', { availabilityZone: zoneB }),
    createServer('far'),
  ]);
  void run('r0', { targetEndAt: 300 });
  void run('r00', { targetEndAt: 300 });
  assert.equal(calls.length, 2);
  const far = calls.find(({ server }) => server.serverId === 'far');
  void run('r1', { homeZone: zoneB, movedBytes: 2_000_000, key: undefined, inputs: ['x'] });
  answerAll(far);
  await clock.advance(100);
  assert.ok(!calls.slice(2).some(({ pieces }) => pieces.some((piece) => piece.requestId === 'r1')));
  await clock.advance(500);
  assert.ok(calls.slice(2).some(({ pieces }) => pieces.some((piece) => piece.requestId === 'r1')));
});

test('results kept their room until the stage that reads them was done', async () => {
  const { clock, dispatcher, calls, run, answerAll } = createWorld();
  dispatcher.update(capacity, [createServer('one')]);
  let fetched = 0;
  void run('r1', { pieceCount: 12 }, undefined, () => (fetched += 1));
  await clock.advance(200);
  assert.equal(fetched, 0, 'two pieces wait for the next call');
  answerAll(calls[0]);
  await clock.advance(200);
  assert.equal(fetched, 1);
  answerAll(calls[1]);
  await clock.advance(1_000);
  assert.equal(fetched, 1);
});

test('a replica that was lost at once has fetched nothing', async () => {
  const { clock, dispatcher, calls, run } = createWorld();
  dispatcher.update(capacity, [createServer('one')]);
  let fetched = 0;
  void run('r1', {}, undefined, () => (fetched += 1));
  calls[0]?.answer({ kind: 'failed', detail: 'connection refused' });
  await clock.advance(150);
  assert.equal(fetched, 0);
});

test('large results were made in another zone than the engine that reads them', async () => {
  const { clock, dispatcher, calls, run } = createWorld();
  const near = createServer('near', { availabilityZone: zoneB });
  dispatcher.update(capacity, [createServer('away'), near]);
  void run('r0');
  void run('r1');
  assert.equal(calls.length, 2, 'both replicas are busy');
  const results = { homeZone: zoneB, movedBytes: 2_000_000, resultBytes: 1_000, isEntry: true };
  void run('r2', results);
  void run('r3', { ...results, targetEndAt: clock.now() + 1_000 });
  calls
    .find(({ server }) => server.serverId !== near.serverId)
    ?.answer({
      kind: 'answered',
      outcomes: [
        { kind: 'made', handle: 'a' },
        { kind: 'made', handle: 'b' },
      ],
    });
  await clock.advance(300);
  // The one that is in a hurry took the replica that is away.
  assert.deepEqual(new Set(calls[2]?.pieces.map(({ requestId }) => requestId)), new Set(['r3']));
});

test('of two idle replicas the one near the engine makes large results, at once', () => {
  const { dispatcher, calls, run } = createWorld();
  const near = createServer('near', { availabilityZone: zoneB });
  dispatcher.update(capacity, [createServer('away'), near]);
  void run('r1', { homeZone: zoneB, movedBytes: 2_000_000, isEntry: true });
  assert.deepEqual(
    calls.map(({ server }) => server.serverId),
    [near.serverId],
  );
});
