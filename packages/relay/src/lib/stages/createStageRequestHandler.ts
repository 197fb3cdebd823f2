import {
  NO_LONGER_NEEDED,
  type Clock,
  type Failure,
  type HostId,
  type PoolId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { RelayMetrics } from '../createRelayMetrics.js';
import type { StopDeadline } from '../createStopDeadline.js';
import type { Fleet, HandleFleetRequest } from '../fleet/createFleet.js';
import {
  cancelPiecesSchema,
  freeResultsSchema,
  runPiecesRequestSchema,
  type RunPiecesReply,
} from '../fleet/messages.js';
import type { PieceDispatcher, PieceResult } from './PieceDispatcher.js';

/** Options of {@link createStageRequestHandler}. @public */
export interface StageRequestHandlerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly findFleet: () => Fleet;
  /** Finds the dispatcher of a pool on this host. */
  readonly findDispatcher: (poolId: PoolId) => PieceDispatcher | undefined;
  readonly metrics: Pick<RelayMetrics, 'recordStageRequest'>;
  readonly stopDeadline: StopDeadline;
}

/** Failure reasons that are reported unchanged to the host that sent the stage. */
const forwardedReasons = ['deadline-exceeded', 'input-lost', 'cancelled', 'overloaded'] as const;

function encodeOutcome(result: Result<readonly PieceResult[], Failure>): RunPiecesReply['outcome'] {
  if (result.isOk()) return { kind: 'made', results: [...result.value] };
  const { reason, detail, retryAfterMs } = result.error;
  const known = forwardedReasons.find((forwarded) => forwarded === reason);
  return {
    kind: 'failed',
    reason: known ?? 'server-error',
    detail,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

/**
 * Creates the handler of other hosts' requests to the dispatchers of this host.
 *
 * @param options - see {@link StageRequestHandlerOptions}
 * @returns the handler; it returns undefined for requests of other kinds
 * @internal
 */
export function createStageRequestHandler(options: StageRequestHandlerOptions): HandleFleetRequest {
  const { clock, logger, findFleet, findDispatcher, stopDeadline } = options;
  const abortControllers = new Map<string, AbortController>();

  async function handleRunRequest(
    from: HostId,
    body: unknown,
    disconnectSignal: AbortSignal,
  ): Promise<RunPiecesReply> {
    const { poolId, orderId, remainingMs, targetRemainingMs, inputsRemainingMs, ...rest } =
      runPiecesRequestSchema.parse(body);
    const dispatcher = findDispatcher(poolId);
    if (dispatcher === undefined) throw new Error(`this host has no dispatcher of pool ${poolId}`);
    const controller = new AbortController();
    abortControllers.set(orderId, controller);
    const abandon = () => {
      options.metrics.recordStageRequest(poolId, 'abandoned');
      logger.info('stage request abandoned: the connection to its host closed', {
        requestId: rest.requestId,
        orderId,
        pool: poolId,
        peer: from,
      });
      controller.abort(NO_LONGER_NEEDED);
    };
    disconnectSignal.addEventListener('abort', abandon, { once: true });
    const endWatch = stopDeadline.watch(() => controller.abort(NO_LONGER_NEEDED));
    const [preferredHost] = findFleet().listDispatchers(poolId);
    if (preferredHost !== findFleet().hostId) {
      logger.info('stage request received, although another host is preferred', {
        requestId: rest.requestId,
        orderId,
        pool: poolId,
        peer: from,
        preferred: preferredHost,
      });
    }
    const { key, inputs, homeZone } = rest;
    const group = {
      ...rest,
      key,
      inputs,
      homeZone,
      inputsExpireAt: clock.now() + (inputsRemainingMs ?? Infinity),
      endAt: clock.now() + remainingMs,
      targetEndAt: clock.now() + targetRemainingMs,
    };
    try {
      const reportFetched = () => findFleet().notify(from, 'inputs-fetched', { orderId });
      const hasInputs = inputs !== undefined;
      const onInputsFetched = hasInputs ? reportFetched : undefined;
      const result = await dispatcher.run(group, controller.signal, onInputsFetched);
      // The host that sent it then sends it to another dispatcher.
      if (result.isErr() && stopDeadline.hasPassed()) throw new Error('this host stops');
      const outcome = encodeOutcome(result);
      return { outcome, byRank: dispatcher.listWaits() };
    } finally {
      disconnectSignal.removeEventListener('abort', abandon);
      endWatch();
      abortControllers.delete(orderId);
    }
  }

  const requestHandlers: Partial<
    Record<string, (from: HostId, body: unknown, signal: AbortSignal) => Promise<unknown>>
  > = {
    'run-pieces': handleRunRequest,
    'cancel-pieces': (_from, body) => {
      abortControllers.get(cancelPiecesSchema.parse(body).orderId)?.abort();
      return Promise.resolve(true);
    },
    'free-results': (_from, body) => {
      const { poolId, results } = freeResultsSchema.parse(body);
      findDispatcher(poolId)?.free(results);
      return Promise.resolve(true);
    },
  };

  return (from, kind, body, signal) => requestHandlers[kind]?.(from, body, signal);
}
