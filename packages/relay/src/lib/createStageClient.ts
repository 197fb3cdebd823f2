import {
  createRefusal,
  type Clock,
  type Failure,
  type HostId,
  type PoolId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

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

/** Time beyond a request's own after which a dispatcher's answer is not waited for, in milliseconds. */
const REPLY_SLACK_MS = 200;
/** Short requests to a dispatcher, in milliseconds. */
const SHORT_REQUEST_MS = 1_000;
/** Dispatchers that one stage of a request is handed to before it fails. */
const MAX_DISPATCHERS = 3;

/**
 * Hands the stages of requests to the host that gathers the pieces of their pool.
 *
 * @public
 */
export interface StageClient {
  /**
   * Makes the results of one stage of one request; `onInputsFetched` is called when the stage's
   * inputs are not needed any more.
   */
  run(
    poolId: PoolId,
    group: PieceGroup,
    signal: AbortSignal,
    onInputsFetched: () => void,
  ): Promise<Result<readonly PieceResult[], Failure>>;
  /** Gives up results that nobody needs any more. */
  free(poolId: PoolId, results: readonly PieceResult[]): void;
  /** Does what other hosts ask of the dispatchers here. */
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
  /** The dispatcher of a pool on this host. */
  readonly findDispatcher: (poolId: PoolId) => PieceDispatcher | undefined;
  /** Takes what a dispatcher on another host tells of its waiting times. */
  readonly noteWaits: (told: ReportedWaits) => void;
}

/** Reasons that mean the same to the host that handed the stage over. */
const passedReasons = ['deadline-exceeded', 'input-lost', 'cancelled', 'overloaded'] as const;

function toOutcome(result: Result<readonly PieceResult[], Failure>): RunPiecesReply['outcome'] {
  if (result.isOk()) return { kind: 'made', results: [...result.value] };
  const { reason, detail, retryAfterMs } = result.error;
  const known = passedReasons.find((passed) => passed === reason);
  return {
    kind: 'failed',
    reason: known ?? 'server-error',
    detail,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

function toResult(outcome: RunPiecesReply['outcome']): Result<readonly PieceResult[], Failure> {
  if (outcome.kind === 'made') return ok(outcome.results);
  return err(createRefusal(outcome.reason, outcome.detail, outcome.retryAfterMs));
}

/**
 * Creates the client.
 *
 * @param options - see {@link StageClientOptions}
 * @returns the client
 * @public
 */
export function createStageClient(options: StageClientOptions): StageClient {
  const { clock, logger, findFleet, findDispatcher } = options;
  const orders = new Map<string, AbortController>();
  const fetchHandlers = new Map<string, () => void>();
  let nextOrder = 0;

  function buildOrder(poolId: PoolId, orderId: string, group: PieceGroup): RunPiecesRequest {
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

  /** Runs a stage at another host; undefined when that host is lost or has no dispatcher. */
  async function runAt(
    hostId: HostId,
    poolId: PoolId,
    group: PieceGroup,
    signal: AbortSignal,
    onInputsFetched: () => void,
  ): Promise<Result<readonly PieceResult[], Failure> | undefined> {
    nextOrder += 1;
    const order = buildOrder(poolId, `${findFleet().hostId}/${nextOrder}`, group);
    const { orderId } = order;
    const cancel = () =>
      void findFleet().request(hostId, 'cancel-pieces', { poolId, orderId }, SHORT_REQUEST_MS);
    signal.addEventListener('abort', cancel, { once: true });
    const timeoutMs = Math.max(1, order.remainingMs) + REPLY_SLACK_MS;
    fetchHandlers.set(orderId, onInputsFetched);
    const reply = await findFleet().request(hostId, 'run-pieces', order, timeoutMs);
    fetchHandlers.delete(orderId);
    signal.removeEventListener('abort', cancel);
    if (reply.isOk()) {
      const { outcome, byRank } = runPiecesReplySchema.parse(reply.value);
      options.noteWaits({ poolId, ageMs: 0, byRank });
      return toResult(outcome);
    }
    logger.warn('a dispatcher was lost', {
      requestId: group.requestId,
      pool: poolId,
      peer: hostId,
      detail: reply.error.detail,
    });
    return undefined;
  }

  async function receiveOrder(from: HostId, body: unknown): Promise<RunPiecesReply> {
    const { poolId, orderId, remainingMs, targetRemainingMs, inputsRemainingMs, ...rest } =
      runPiecesRequestSchema.parse(body);
    const dispatcher = findDispatcher(poolId);
    if (dispatcher === undefined) throw new Error(`no dispatcher of ${poolId} is here`);
    const controller = new AbortController();
    orders.set(orderId, controller);
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
      const noteFetched = () =>
        void findFleet().request(from, 'inputs-fetched', { orderId }, SHORT_REQUEST_MS);
      const hasInputs = inputs !== undefined;
      const outcome = toOutcome(
        await dispatcher.run(group, controller.signal, hasInputs ? noteFetched : undefined),
      );
      return { outcome, byRank: dispatcher.listWaits() };
    } finally {
      orders.delete(orderId);
    }
  }

  const requestHandlers: Partial<
    Record<string, (from: HostId, body: unknown) => Promise<unknown>>
  > = {
    'run-pieces': receiveOrder,
    'inputs-fetched': (_from, body) => {
      fetchHandlers.get(inputsFetchedSchema.parse(body).orderId)?.();
      return Promise.resolve(true);
    },
    'cancel-pieces': (_from, body) => {
      orders.get(cancelPiecesSchema.parse(body).orderId)?.abort();
      return Promise.resolve(true);
    },
    'free-results': (_from, body) => {
      const { poolId, results } = freeResultsSchema.parse(body);
      findDispatcher(poolId)?.free(results);
      return Promise.resolve(true);
    },
  };

  const findDispatcherHosts = (poolId: PoolId) => findFleet().listDispatchers(poolId);

  return {
    async run(poolId, group, signal, onInputsFetched) {
      for (const hostId of findDispatcherHosts(poolId).slice(0, MAX_DISPATCHERS)) {
        if (hostId === findFleet().hostId) break;
        const result = await runAt(hostId, poolId, group, signal, onInputsFetched);
        if (result !== undefined) return result;
        if (signal.aborted || clock.now() >= group.endAt) break;
      }
      const own = findDispatcher(poolId);
      if (own !== undefined) return own.run(group, signal, onInputsFetched);
      return err(createRefusal('no-backend-server', `nothing is known of pool ${poolId}`));
    },
    free(poolId, results) {
      if (results.length === 0) return;
      const [hostId] = findDispatcherHosts(poolId);
      if (hostId === undefined || hostId === findFleet().hostId) {
        findDispatcher(poolId)?.free(results);
        return;
      }
      void findFleet().request(hostId, 'free-results', { poolId, results }, SHORT_REQUEST_MS);
    },
    handleRequest: (from, kind, body) => requestHandlers[kind]?.(from, body),
  };
}
