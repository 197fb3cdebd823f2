import type { RetryBudget, ServerLimits } from '@endiveferry/admission';
import { MAX_TIMER_MS, type BackendServerId, type Clock, type PoolId } from '@endiveferry/base';
import {
  createPieceDispatcher,
  createResponseMatcher,
  type Backends,
  type EstimateWaitMs,
  type PieceRequest,
  type PieceDispatcher,
  type ReplicaLimits,
  type BatchOutcome,
  type ListedServer,
  type RelayMetrics,
  type RelayPool,
  type ServerRamps,
  type ServerSignals,
  type WarmUps,
  type WireProtocol,
} from '@endiveferry/relay';
import type { CallResult } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';

/**
 * Timeout of a request to free results, in milliseconds. Results that are not freed expire at their
 * backend server, so a failure needs no retry.
 */
const FREE_TIMEOUT_MS = 1_000;
/** Maximum size of a response to a stage call, in bytes: some handles per piece of a batch. */
const MAX_STAGE_RESPONSE_BYTES = 1_000_000;

/** The dispatchers of all stage pools on this host. @internal */
export interface Dispatchers {
  readonly find: (poolId: PoolId) => PieceDispatcher | undefined;
  /** Returns the pools that have a dispatcher. */
  readonly listPools: () => readonly PoolId[];
  /** Returns the number of groups of all pools whose pieces wait or run. */
  readonly countGroups: () => number;
  /** Creates dispatchers for new stage pools and updates all of them with their servers. */
  update(pools: ReadonlyMap<PoolId, RelayPool>, servers: readonly ListedServer[]): void;
}

/** Options of {@link createDispatchers}. @internal */
export interface DispatchersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
  readonly protocol: WireProtocol;
  readonly backends: Backends;
  readonly limits: ServerLimits;
  readonly warmUps: WarmUps;
  readonly signals: ServerSignals;
  readonly ramps: ServerRamps;
  /** Whether a server, as it was listed when it was chosen, may still get new pieces. */
  readonly mayReceive: (server: ListedServer) => boolean;
  /** Whether a server may still get calls that free results. */
  readonly mayFree: (server: ListedServer) => boolean;
  /** Called when another server responds at the address of a listed one. */
  readonly onServerReplaced: (serverId: BackendServerId) => void;
  /** Returns the retry budget of a pool. */
  readonly getRetryBudget: (poolId: PoolId) => RetryBudget;
  readonly estimateWaitMs: EstimateWaitMs;
}

/**
 * Creates an empty set of dispatchers; {@link Dispatchers.update} adds the pools.
 *
 * @param options - see {@link DispatchersOptions}
 * @returns the dispatchers
 * @internal
 */
export function createDispatchers(options: DispatchersOptions): Dispatchers {
  const { clock, logger, protocol, backends, limits, warmUps } = options;
  const dispatchers = new Map<PoolId, PieceDispatcher>();
  const matcher = createResponseMatcher(options);

  const replicaLimits: ReplicaLimits = {
    isLimited: (serverId) => limits.isLimited(serverId) || warmUps.isCold(serverId),
    maySend: (serverId) => limits.maySend(serverId) && warmUps.maySend(serverId),
    hasShare: warmUps.hasShare,
    recordSent(serverId) {
      limits.recordSent(serverId);
      warmUps.recordSent(serverId);
    },
  };

  function parseResult(
    server: ListedServer,
    result: CallResult,
    pieces: readonly PieceRequest[],
  ): BatchOutcome {
    if (result.kind === 'not-sent' && result.isWithheld === true) return { kind: 'withheld' };
    if (result.kind !== 'answered') return { kind: 'failed', detail: result.detail };
    const metadata = protocol.parseResponse(result.status, result.headers);
    if (metadata.isMisdirected) return { kind: 'gone' };
    if (result.status === 200 || metadata.isRejection)
      options.signals.record(server, metadata, pieces[0]?.requestId);
    const slowdown = metadata.load?.slowdown;
    if (metadata.isRejection) return { kind: 'full', slowdown };
    const outcomes = protocol.parsePiecesResponse(result.body, pieces.length);
    if (result.status === 200 && outcomes !== undefined)
      return { kind: 'answered', outcomes, slowdown };
    return { kind: 'failed', detail: `the backend server responded with status ${result.status}` };
  }

  async function sendPieces(
    server: ListedServer,
    pieces: readonly PieceRequest[],
    timeoutMs: number,
  ): Promise<BatchOutcome> {
    const { serverId } = server;
    const backend = backends.find(serverId);
    if (backend === undefined) return { kind: 'gone' };
    const result = await backend.connections.send({
      ...protocol.buildPiecesRequest(serverId, pieces),
      ...matcher.startCall(
        server,
        backend.connections,
        pieces.map(({ requestId }) => requestId),
      ),
      maxResponseBytes: MAX_STAGE_RESPONSE_BYTES,
      signal: AbortSignal.timeout(Math.min(Math.ceil(timeoutMs), MAX_TIMER_MS)),
      // The call may have waited for a connection since the replica was chosen.
      maySend: () => options.mayReceive(server),
    });
    options.signals.recordResult(server, result);
    return parseResult(server, result, pieces);
  }

  function sendFree(server: ListedServer, handles: readonly string[]): void {
    const { serverId } = server;
    const backend = backends.find(serverId);
    if (backend === undefined) return;
    const request = protocol.buildFreeRequest(serverId, handles);
    const signal = AbortSignal.timeout(FREE_TIMEOUT_MS);
    const maySend = () => options.mayFree(server);
    void backend.connections
      .send({
        ...request,
        // Results of several requests are freed together, so the call carries no id.
        ...matcher.startCall(server, backend.connections, []),
        maxResponseBytes: MAX_STAGE_RESPONSE_BYTES,
        signal,
        maySend,
      })
      .then((result) => {
        if (result.kind === 'answered') return;
        logger.debug('stage results could not be freed', {
          backendServer: serverId,
          count: handles.length,
          detail: result.detail,
        });
      });
  }

  return {
    find: (poolId) => dispatchers.get(poolId),
    listPools: () => [...dispatchers.keys()],
    countGroups: () =>
      [...dispatchers.values()].reduce((sum, dispatcher) => sum + dispatcher.countGroups(), 0),
    update(pools, servers) {
      for (const [poolId, { stage }] of pools) {
        if (stage === undefined) continue;
        const dispatcher =
          dispatchers.get(poolId) ??
          createPieceDispatcher({
            poolId,
            clock,
            logger,
            metrics: options.metrics,
            sendPieces,
            sendFree,
            limits: replicaLimits,
            ramps: options.ramps,
            onServerReplaced: options.onServerReplaced,
            tryWithdrawRetry: () => options.getRetryBudget(poolId).tryWithdraw(),
            recordPieceRun: () => options.getRetryBudget(poolId).recordFirstAttempt(),
            estimateWaitMs: options.estimateWaitMs,
          });
        dispatchers.set(poolId, dispatcher);
        dispatcher.update(
          stage,
          servers.filter((server) => server.poolId === poolId),
        );
      }
    },
  };
}
