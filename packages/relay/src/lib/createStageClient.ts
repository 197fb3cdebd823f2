import {
  createNotRunFailure,
  isAborted,
  NO_LONGER_NEEDED,
  type Clock,
  type Failure,
  type HostId,
  type PoolId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { RelayMetrics } from './createRelayMetrics.js';
import type { Fleet, HandleFleetRequest } from './createFleet.js';
import {
  cancelPiecesSchema,
  freeResultsSchema,
  inputsFetchedSchema,
  runPiecesReplySchema,
  runPiecesRequestSchema,
  type RunPiecesRequest,
  type RunPiecesReply,
  type ReportedWaits,
} from './messages.js';
import type { PieceDispatcher, PieceResult } from './pieces/PieceDispatcher.js';
import type { PieceGroup } from './pieces/WaitingGroup.js';

/** Time beyond a request's deadline for which a dispatcher's reply is awaited, in milliseconds. */
const REPLY_MARGIN_MS = 200;
/** Maximum number of dispatchers that a stage of a request is sent to. */
const MAX_DISPATCHER_ATTEMPTS = 3;

/**
 * Sends the stages of requests to the dispatchers of their pools.
 *
 * @public
 */
export interface StageClient {
  /**
   * Runs a stage of a request and returns its results; `onInputsFetched` is called when the inputs
   * of the stage are not needed any more.
   */
  run(
    poolId: PoolId,
    group: PieceGroup,
    signal: AbortSignal,
    onInputsFetched: () => void,
  ): Promise<Result<readonly PieceResult[], Failure>>;
  /** Frees results that are not needed any more. */
  free(poolId: PoolId, results: readonly PieceResult[]): void;
  /** Handles requests of other hosts to the dispatchers of this host. */
  readonly handleRequest: HandleFleetRequest;
}

/**
 * Options of the stage client.
 *
 * @public
 */
export interface StageClientOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly findFleet: () => Fleet;
  /** Finds the dispatcher of a pool on this host. */
  readonly findDispatcher: (poolId: PoolId) => PieceDispatcher | undefined;
  readonly metrics: Pick<RelayMetrics, 'recordStageRequest'>;
  /** Records the waiting times that a dispatcher on another host reports. */
  readonly recordWaits: (waits: ReportedWaits) => void;
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

function decodeOutcome(
  outcome: RunPiecesReply['outcome'],
): Result<readonly PieceResult[], Failure> {
  if (outcome.kind === 'made') return ok(outcome.results);
  return err(createNotRunFailure(outcome.reason, outcome.detail, outcome.retryAfterMs));
}

/**
 * Creates a stage client.
 *
 * @param options - see {@link StageClientOptions}
 * @returns the stage client
 * @public
 */
export function createStageClient(options: StageClientOptions): StageClient {
  const { clock, logger, findFleet, findDispatcher } = options;
  const abortControllers = new Map<string, AbortController>();
  const fetchHandlers = new Map<string, () => void>();
  let lastOrderNumber = 0;

  function buildRunRequest(poolId: PoolId, orderId: string, group: PieceGroup): RunPiecesRequest {
    const { endAt, targetEndAt, inputsExpireAt, key, inputs, homeZone, followers, ...rest } = group;
    return {
      ...rest,
      poolId,
      orderId,
      followers: [...followers],
      ...(key === undefined ? {} : { key }),
      ...(inputs === undefined ? {} : { inputs: [...inputs] }),
      ...(homeZone === undefined ? {} : { homeZone }),
      ...(Number.isFinite(inputsExpireAt)
        ? { inputsRemainingMs: inputsExpireAt - clock.now() }
        : {}),
      remainingMs: endAt - clock.now(),
      targetRemainingMs: targetEndAt - clock.now(),
    };
  }

  /**
   * Runs a stage at another host; undefined when that host sends no outcome, for example because it
   * is unreachable or has no dispatcher.
   */
  async function runAtHost(
    hostId: HostId,
    poolId: PoolId,
    group: PieceGroup,
    signal: AbortSignal,
    onInputsFetched: () => void,
  ): Promise<Result<readonly PieceResult[], Failure> | undefined> {
    lastOrderNumber += 1;
    const runRequest = buildRunRequest(poolId, `${findFleet().hostId}/${lastOrderNumber}`, group);
    const { orderId } = runRequest;
    const cancel = () => findFleet().notify(hostId, 'cancel-pieces', { poolId, orderId });
    signal.addEventListener('abort', cancel, { once: true });
    const timeoutMs = Math.max(1, runRequest.remainingMs) + REPLY_MARGIN_MS;
    fetchHandlers.set(orderId, onInputsFetched);
    const sentAt = clock.now();
    const reply = await findFleet().request(hostId, 'run-pieces', runRequest, timeoutMs);
    fetchHandlers.delete(orderId);
    signal.removeEventListener('abort', cancel);
    options.metrics.recordStageRequest(poolId, reply.isOk() ? 'answered' : 'unanswered');
    if (reply.isOk()) {
      const { outcome, byRank } = runPiecesReplySchema.parse(reply.value);
      options.recordWaits({ poolId, ageMs: 0, byRank });
      return decodeOutcome(outcome);
    }
    logger.warn('stage request to dispatcher failed', {
      requestId: group.requestId,
      orderId,
      pool: poolId,
      peer: hostId,
      waitedMs: Math.round(clock.now() - sentAt),
      detail: reply.error.detail,
    });
    return undefined;
  }

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
      const outcome = encodeOutcome(
        await dispatcher.run(group, controller.signal, hasInputs ? reportFetched : undefined),
      );
      return { outcome, byRank: dispatcher.listWaits() };
    } finally {
      disconnectSignal.removeEventListener('abort', abandon);
      abortControllers.delete(orderId);
    }
  }

  const requestHandlers: Partial<
    Record<string, (from: HostId, body: unknown, signal: AbortSignal) => Promise<unknown>>
  > = {
    'run-pieces': handleRunRequest,
    'inputs-fetched': (_from, body) => {
      fetchHandlers.get(inputsFetchedSchema.parse(body).orderId)?.();
      return Promise.resolve(true);
    },
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

  const listDispatcherHosts = (poolId: PoolId) => findFleet().listDispatchers(poolId);

  return {
    async run(poolId, group, signal, onInputsFetched) {
      for (const hostId of listDispatcherHosts(poolId).slice(0, MAX_DISPATCHER_ATTEMPTS)) {
        if (hostId === findFleet().hostId || isAborted(signal)) break;
        const result = await runAtHost(hostId, poolId, group, signal, onInputsFetched);
        if (result !== undefined) return result;
        if (clock.now() >= group.endAt) break;
      }
      const localDispatcher = findDispatcher(poolId);
      if (localDispatcher !== undefined) return localDispatcher.run(group, signal, onInputsFetched);
      return err(
        createNotRunFailure('no-backend-server', `no dispatcher of pool ${poolId} is known`),
      );
    },
    free(poolId, results) {
      if (results.length === 0) return;
      const [hostId] = listDispatcherHosts(poolId);
      if (hostId === undefined || hostId === findFleet().hostId) {
        findDispatcher(poolId)?.free(results);
        return;
      }
      findFleet().notify(hostId, 'free-results', { poolId, results });
    },
    handleRequest: (from, kind, body, signal) => requestHandlers[kind]?.(from, body, signal),
  };
}
