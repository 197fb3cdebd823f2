import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  createRandom,
  hostIdSchema,
  poolIdSchema,
  readPropertyOptions,
  requestIdSchema,
  type Failure,
  type Random,
} from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';
import fc from 'fast-check';
import type { Result } from 'neverthrow';

import type { PieceRequest, PieceOutcome } from '../ports.js';
import type { ListedServer } from '../RelayConfiguration.js';
import { createPieceDispatcher } from './createPieceDispatcher.js';
import type { PieceResult, PiecesAnswer } from './PieceDispatcher.js';

setLogWriter(() => undefined);

const poolId = poolIdSchema.parse('pool');
const LENGTH_MS = 8_000;
const STEP_MS = 50;
const LONGEST_MS = 4_000;
/** Time in which every call that began before the end is answered or given up. */
const SETTLING_MS = 30_000;
const REASONS = ['late', 'input-gone', 'no-room', 'error'] as const;

const createServer = (index: number): ListedServer => ({
  serverId: backendServerIdSchema.parse(`replica-${index}`),
  poolId,
  address: `10.0.0.${index}:80`,
  availabilityZone: availabilityZoneIdSchema.parse(index % 2 === 0 ? 'a' : 'b'),
  slots: 1,
  isLeaving: false,
});

/** Replicas that make, refuse, lose, fail and never answer, by chance. */
function createReplicas(
  clock: ReturnType<typeof createFakeClock>,
  random: Random,
  trouble: number,
) {
  const made = new Map<string, string>();
  const freed = new Set<string>();

  function answerPiece({ requestId, pieceIndex }: PieceRequest): PieceOutcome {
    if (random.nextFraction() < trouble) {
      const reason = REASONS[random.nextInteger(REASONS.length)] ?? 'error';
      return { kind: 'failed', reason };
    }
    const handle = `${requestId}/${pieceIndex}/${made.size}`;
    made.set(handle, requestId);
    return { kind: 'made', handle };
  }

  function answerCall(pieces: readonly PieceRequest[]): PiecesAnswer {
    const luck = random.nextFraction();
    if (luck < trouble / 3) return { kind: 'full' };
    if (luck < trouble / 2) return { kind: 'failed', detail: 'broken' };
    return { kind: 'answered', outcomes: pieces.map(answerPiece) };
  }

  return {
    made,
    freed,
    send(pieces: readonly PieceRequest[], timeoutMs: number): Promise<PiecesAnswer> {
      const isSilent = random.nextFraction() < trouble / 4;
      const durationMs = isSilent ? timeoutMs : 200 + random.nextInteger(400);
      return new Promise((resolve) => {
        clock.schedule(durationMs, () =>
          resolve(isSilent ? { kind: 'failed', detail: 'silent' } : answerCall(pieces)),
        );
      });
    },
  };
}

async function playDay(seed: number, trouble: number, perStep: number): Promise<void> {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const replicas = createReplicas(clock, random, trouble);
  const dispatcher = createPieceDispatcher({
    poolId,
    clock,
    logger: createLogger(hostIdSchema.parse('host'), 'error'),
    sendPieces: (_server, pieces, timeoutMs) => replicas.send(pieces, timeoutMs),
    sendFree: (_server, handles) => {
      for (const handle of handles) replicas.freed.add(handle);
    },
    onGone: () => undefined,
    mayRepeat: () => random.nextFraction() < 0.7,
    estimateWaitMs: () => random.nextInteger(1_200),
  });
  const servers = [0, 1, 2].map(createServer);
  const capacity = {
    slots: 1,
    batch: 8,
    callMs: 240,
    pieceMs: 10,
    resultMemoryBytes: 20_000,
    resultTtlMs: 4_000,
  };
  dispatcher.update(capacity, servers);
  const ends = new Map<string, Result<readonly PieceResult[], Failure>>();
  const fetched = new Map<string, number>();
  const pieceCounts = new Map<string, number>();

  function addGroup(name: string): void {
    const signal = new AbortController();
    if (random.nextFraction() < 0.1) {
      clock.schedule(random.nextInteger(1_500), () => signal.abort());
    }
    const pieceCount = 1 + random.nextInteger(12);
    pieceCounts.set(name, pieceCount);
    const group = {
      requestId: requestIdSchema.parse(name),
      stageIndex: 0,
      pieceCount,
      rank: random.nextInteger(3),
      key: 'key',
      inputs: undefined,
      homeZone: servers[random.nextInteger(3)]?.availabilityZone,
      movedBytes: random.nextInteger(3_000_000),
      inputsExpireAt: Infinity,
      isEntry: random.nextFraction() < 0.5,
      followers: [poolId],
      resultBytes: 100 + random.nextInteger(2_000),
      endAt: clock.now() + 500 + random.nextInteger(LONGEST_MS),
      targetEndAt: clock.now() + random.nextInteger(2_000),
    };
    const noteFetched = () => fetched.set(name, (fetched.get(name) ?? 0) + 1);
    void dispatcher.run(group, signal.signal, noteFetched).then((result) => {
      assert.ok(!ends.has(name), `${name} ended twice`);
      ends.set(name, result);
    });
  }

  for (let at = 0; at < LENGTH_MS; at += STEP_MS) {
    if (random.nextFraction() < perStep) addGroup(`group-${at}`);
    // A replica leaves, and comes back, now and then.
    if (random.nextFraction() < trouble / 20) {
      const leaving = random.nextInteger(3);
      dispatcher.update(
        capacity,
        servers.map((server, index) => ({ ...server, isLeaving: index === leaving })),
      );
    }
    await clock.advance(STEP_MS);
  }
  dispatcher.update(capacity, servers);
  await clock.advance(SETTLING_MS);

  assert.equal(dispatcher.countWaiting(), 0);
  const handedOut = new Set<string>();
  for (const [name, pieceCount] of pieceCounts) {
    const end = ends.get(name);
    assert.ok(end !== undefined, `${name} never ended`);
    assert.ok((fetched.get(name) ?? 0) <= 1, `${name} had its inputs fetched twice`);
    if (end.isErr()) continue;
    assert.equal(end.value.length, pieceCount);
    for (const { handle } of end.value) {
      assert.equal(replicas.made.get(handle), name, 'a result of another request');
      assert.ok(!handedOut.has(handle), 'one result for two pieces');
      assert.ok(!replicas.freed.has(handle), 'a result that was given up');
      handedOut.add(handle);
    }
  }
  for (const handle of replicas.made.keys()) {
    assert.ok(handedOut.has(handle) || replicas.freed.has(handle), `${handle} keeps its room`);
  }
}

test('property: whatever replicas do, each group ends once, with its own results, and no room is lost', async () => {
  const day = fc.record({
    seed: fc.nat(),
    trouble: fc.double({ min: 0, max: 0.6, noNaN: true }),
    perStep: fc.double({ min: 0.05, max: 1, noNaN: true }),
  });
  await fc.assert(
    fc.asyncProperty(day, ({ seed, trouble, perStep }) => playDay(seed, trouble, perStep)),
    readPropertyOptions(11, 60),
  );
});
