import {
  createNotRunFailure,
  isAborted,
  type Failure,
  type HostId,
  type PoolId,
} from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { HandleFleetRequest } from '../fleet/createFleet.js';
import {
  createStageRequestHandler,
  type StageRequestHandlerOptions,
} from './createStageRequestHandler.js';
import {
  inputsFetchedSchema,
  runPiecesReplySchema,
  type RunPiecesRequest,
  type RunPiecesReply,
  type ReportedWaits,
} from '../fleet/messages.js';
import type { PieceResult } from './PieceDispatcher.js';
import type { PieceGroup } from './WaitingGroup.js';

/** Time beyond a request's deadline for which a dispatcher's reply is awaited, in milliseconds. */
const REPLY_MARGIN_MS = 200;
/** Maximum number of dispatchers that a stage of a request is sent to. */
const MAX_DISPATCHER_ATTEMPTS = 3;
/**
 * Time after a stage was sent from which data of its dispatcher proves that the dispatcher survived
 * the arrival of the stage, in milliseconds; what comes earlier may have been sent before.
 */
const MIN_ANSWERED_MS = 100;
/** Number of dispatchers lost with a stage after which it is not sent to another one. */
const MAX_LOST_DISPATCHERS = 2;

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
export interface StageClientOptions extends StageRequestHandlerOptions {
  /** Records the waiting times that a dispatcher on another host reports. */
  readonly recordWaits: (waits: ReportedWaits) => void;
}

/**
 * End of a stage request at another host.
 *
 * - `settled`: the dispatcher replied with the outcome of the stage.
 * - `unreached`: the host is unreachable or has no dispatcher, or did not reply in time.
 * - `lost`: the dispatcher's process ended some time after the stage had arrived.
 * - `suspect`: it sent nothing more once the stage had arrived, so that the stage may have ended it.
 */
type HostOutcome =
  | { readonly kind: 'settled'; readonly result: Result<readonly PieceResult[], Failure> }
  | { readonly kind: 'unreached' | 'lost' | 'suspect' };

function decodeOutcome(
  outcome: RunPiecesReply['outcome'],
): Result<readonly PieceResult[], Failure> {
  if (outcome.kind === 'made') return ok(outcome.results);
  return err(createNotRunFailure(outcome.reason, outcome.detail, outcome.retryAfterMs));
}

/** Builds a failure that does not invite the caller to send the request again. */
const buildLostFailure = (poolId: PoolId): Failure => ({
  reason: 'connection-lost',
  detail: `the dispatcher of pool ${poolId} ended while it had a stage of the request`,
  execution: 'may-have-run',
});

/** Builds a failure after which the stages of the request run again. */
const buildFreedFailure = (poolId: PoolId): Failure =>
  createNotRunFailure(
    'input-lost',
    `the dispatcher of pool ${poolId} ended after the inputs of a stage had been freed`,
  );

/**
 * Creates a stage client.
 *
 * @param options - see {@link StageClientOptions}
 * @returns the stage client
 * @public
 */
export function createStageClient(options: StageClientOptions): StageClient {
  const { clock, logger, findFleet, findDispatcher } = options;
  const handleStageRequest = createStageRequestHandler(options);
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

  async function runAtHost(
    hostId: HostId,
    poolId: PoolId,
    group: PieceGroup,
    signal: AbortSignal,
    onInputsFetched: () => void,
  ): Promise<HostOutcome> {
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
      return { kind: 'settled', result: decodeOutcome(outcome) };
    }
    const { isClosedByPeer = false, answeredMs = 0 } = reply.error;
    const lostKind = answeredMs >= MIN_ANSWERED_MS ? 'lost' : 'suspect';
    const kind = isClosedByPeer ? lostKind : 'unreached';
    logger.warn('stage request to dispatcher failed', {
      requestId: group.requestId,
      orderId,
      pool: poolId,
      peer: hostId,
      waitedMs: Math.round(clock.now() - sentAt),
      outcome: kind,
      detail: reply.error.detail,
    });
    return { kind };
  }

  function handleInputsFetched(body: unknown): Promise<unknown> {
    fetchHandlers.get(inputsFetchedSchema.parse(body).orderId)?.();
    return Promise.resolve(true);
  }

  const listDispatcherHosts = (poolId: PoolId) => findFleet().listDispatchers(poolId);

  return {
    async run(poolId, group, signal, onInputsFetched) {
      let lost = 0;
      const freed = { isDone: false };
      const recordFetched = () => {
        freed.isDone = group.inputs !== undefined;
        onInputsFetched();
      };
      for (const hostId of listDispatcherHosts(poolId).slice(0, MAX_DISPATCHER_ATTEMPTS)) {
        if (hostId === findFleet().hostId || isAborted(signal)) break;
        const outcome = await runAtHost(hostId, poolId, group, signal, recordFetched);
        if (outcome.kind === 'settled') return outcome.result;
        if (outcome.kind === 'lost') lost += 1;
        // A stage that ends the process of its dispatcher must not end the next one's too.
        if (outcome.kind === 'suspect' || lost >= MAX_LOST_DISPATCHERS)
          return err(buildLostFailure(poolId));
        if (freed.isDone) return err(buildFreedFailure(poolId));
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
    handleRequest: (from, kind, body, signal) =>
      kind === 'inputs-fetched'
        ? handleInputsFetched(body)
        : handleStageRequest(from, kind, body, signal),
  };
}
