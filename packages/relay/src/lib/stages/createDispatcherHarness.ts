import type { RetryBudget } from '@endiveferry/admission';
import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  hostIdSchema,
  poolIdSchema,
  requestIdSchema,
  type BackendServerId,
} from '@endiveferry/base';
import { createLogger, createMetrics, setLogWriter } from '@endiveferry/telemetry';

import { createRelayMetrics } from '../createRelayMetrics.js';
import type { BatchOutcome, PieceRequest } from '../ports.js';
import type { ListedServer, StageCapacity } from '../RelayConfiguration.js';
import { createPieceDispatcher } from './createPieceDispatcher.js';
import type { PieceDispatcherOptions } from './PieceDispatcher.js';
import type { EstimateWaitMs } from '../RankWait.js';
import type { PieceGroup } from './WaitingGroup.js';

setLogWriter(() => undefined);

/** Capacity of the test pool. @internal */
export const capacity: StageCapacity = {
  slots: 1,
  batch: 10,
  callMs: 240,
  pieceMs: 10,
  resultMemoryBytes: 1_000_000,
  resultTtlMs: 4_000,
};
const zoneA = availabilityZoneIdSchema.parse('a');
/** The availability zone without servers unless a test places some there. @internal */
export const zoneB = availabilityZoneIdSchema.parse('b');

/** Creates the list entry of a replica in the first zone. @internal */
export function createServer(name: string, overrides: Partial<ListedServer> = {}): ListedServer {
  return {
    serverId: backendServerIdSchema.parse(name),
    poolId: poolIdSchema.parse('pool'),
    address: `10.0.0.1:${name.length}`,
    availabilityZone: zoneA,
    slots: 1,
    isLeaving: false,
    ...overrides,
  };
}

/** A call that the dispatcher sent, which the test ends. @internal */
export interface SentCall {
  readonly server: ListedServer;
  readonly pieces: readonly PieceRequest[];
  readonly end: (outcome: BatchOutcome) => void;
}

/** Creates a dispatcher whose calls end when the test says so; retries are unlimited by default. @internal */
export function createDispatcherHarness(
  estimateWaitMs: EstimateWaitMs = () => 0,
  retryBudget?: RetryBudget,
  options: Pick<PieceDispatcherOptions, 'ramps'> = {},
) {
  const clock = createFakeClock();
  const calls: SentCall[] = [];
  const freed: string[] = [];
  const replaced: BackendServerId[] = [];
  const dispatcher = createPieceDispatcher({
    poolId: poolIdSchema.parse('pool'),
    clock,
    logger: createLogger(hostIdSchema.parse('host'), 'error'),
    metrics: createRelayMetrics(createMetrics()),
    sendPieces: (server, pieces) =>
      new Promise((resolve) => {
        calls.push({ server, pieces, end: resolve });
      }),
    sendFree: (_server, handles) => freed.push(...handles),
    onServerReplaced: (serverId) => replaced.push(serverId),
    tryWithdrawRetry: () => retryBudget?.tryWithdraw() ?? true,
    recordPieceRun: () => retryBudget?.recordFirstAttempt(),
    estimateWaitMs,
    ...options,
  });
  function run(
    name: string,
    overrides: Partial<PieceGroup> = {},
    signal: AbortSignal = new AbortController().signal,
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
        ...overrides,
      },
      signal,
      onInputsFetched,
    );
  }
  const succeed = (call: SentCall | undefined) =>
    call?.end({
      kind: 'answered',
      outcomes: call.pieces.map(({ requestId, pieceIndex }) => ({
        kind: 'made',
        handle: `${requestId}/${pieceIndex}`,
      })),
    });
  const flush = () => clock.advance(0);
  return { clock, calls, freed, replaced, dispatcher, run, succeed, flush };
}
