import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  backendServerIdSchema,
  createFakeClock,
  createNotRunFailure,
  hostIdSchema,
  poolIdSchema,
  requestIdSchema,
} from '@endiveferry/base';
import { createLogger, createMetrics, setLogWriter } from '@endiveferry/telemetry';
import { err, ok } from 'neverthrow';

import type { Fleet } from './createFleet.js';
import { createRelayMetrics } from './createRelayMetrics.js';
import { createStageClient } from './createStageClient.js';
import type { PieceDispatcher } from './pieces/PieceDispatcher.js';
import type { PieceGroup } from './pieces/WaitingGroup.js';

setLogWriter(() => undefined);

const poolId = poolIdSchema.parse('pool');
const self = hostIdSchema.parse('10.0.0.1');
const other = hostIdSchema.parse('10.0.0.2');

const group: PieceGroup = {
  requestId: requestIdSchema.parse('r1'),
  stageIndex: 0,
  pieceCount: 1,
  rank: 0,
  key: 'key',
  inputs: undefined,
  homeZone: undefined,
  movedBytes: 0,
  inputsExpireAt: Infinity,
  isEntry: true,
  followers: [],
  resultBytes: 1,
  endAt: 5_000,
  targetEndAt: 1_000,
};

/** Creates a client of a fleet of two hosts, of which the other one is the dispatcher. */
function createHarness(request: Fleet['request']) {
  const clock = createFakeClock();
  const localSignals: AbortSignal[] = [];
  const dispatcher: Pick<PieceDispatcher, 'run' | 'listWaits'> = {
    run(_group, signal) {
      localSignals.push(signal);
      if (signal.aborted) return Promise.resolve(err(createNotRunFailure('cancelled', 'left')));
      return Promise.resolve(
        ok([{ serverId: backendServerIdSchema.parse('local'), handle: 'made here' }]),
      );
    },
    listWaits: () => [],
  };
  const fleet: Pick<Fleet, 'hostId' | 'listDispatchers' | 'request'> = {
    hostId: self,
    listDispatchers: () => [other, self],
    request,
  };
  const client = createStageClient({
    clock,
    logger: createLogger(self, 'error'),
    metrics: createRelayMetrics(createMetrics()),
    findFleet: () => fleet as Fleet,
    findDispatcher: () => dispatcher as PieceDispatcher,
    recordWaits: () => undefined,
  });
  return { client, localSignals };
}

test('a stage of a request that was aborted before is not sent to a dispatcher', async () => {
  const kinds: string[] = [];
  const { client } = createHarness((_hostId, kind) => {
    kinds.push(kind);
    return Promise.resolve(err({ kind: 'unknown', detail: 'no reply' }));
  });
  const result = await client.run(poolId, group, AbortSignal.abort(), () => undefined);
  assert.equal(result.isErr() && result.error.reason, 'cancelled');
  assert.deepEqual(kinds, []);
});

// Peers give up on a late dispatcher and send their stages elsewhere; it went on with all of them.
test('a dispatcher stops work for a host whose connection closed', () => {
  const { client, localSignals } = createHarness(() =>
    Promise.resolve(err({ kind: 'unknown', detail: 'no reply' })),
  );
  const connection = new AbortController();
  const body = {
    ...group,
    inputs: [],
    homeZone: 'a',
    poolId,
    orderId: `${other}/1`,
    remainingMs: 5_000,
    targetRemainingMs: 1_000,
  };
  void client.handleRequest(other, 'run-pieces', body, connection.signal);
  assert.equal(localSignals[0]?.aborted, false);
  connection.abort();
  assert.equal(localSignals[0].aborted, true);
});
