import type { BackendServerId, Clock, PoolId } from '@endiveferry/base';
import {
  createPieceDispatcher,
  type Backends,
  type EstimateWaitMs,
  type PieceRequest,
  type PieceDispatcher,
  type BatchOutcome,
  type ListedServer,
  type RelayPool,
  type WireProtocol,
} from '@endiveferry/relay';
import type { CallResult } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';

/** Time for giving results up, in milliseconds; their room comes back by itself if that fails. */
const FREE_TIMEOUT_MS = 1_000;

/** The dispatchers of all stage pools on this host. @internal */
export interface Dispatchers {
  readonly find: (poolId: PoolId) => PieceDispatcher | undefined;
  readonly listPools: () => readonly PoolId[];
  readonly countWaiting: () => number;
  update(pools: ReadonlyMap<PoolId, RelayPool>, servers: readonly ListedServer[]): void;
}

/** Options of the dispatchers. @internal */
export interface DispatchersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly protocol: WireProtocol;
  readonly backends: Backends;
  readonly onGone: (serverId: BackendServerId) => void;
  readonly mayRepeat: (poolId: PoolId) => boolean;
  readonly estimateWaitMs: EstimateWaitMs;
}

/**
 * Creates the dispatchers of no pools.
 *
 * @param options - see {@link DispatchersOptions}
 * @returns the dispatchers
 * @internal
 */
export function createDispatchers(options: DispatchersOptions): Dispatchers {
  const { clock, logger, protocol, backends } = options;
  const dispatchers = new Map<PoolId, PieceDispatcher>();

  function readResult(result: CallResult, count: number): BatchOutcome {
    if (result.kind !== 'answered') return { kind: 'failed', detail: result.detail };
    const facts = protocol.parseResponse(result.status, result.headers);
    if (facts.isMisdirected) return { kind: 'gone' };
    if (facts.isRejection) return { kind: 'full' };
    const outcomes = protocol.parsePiecesResponse(result.body, count);
    if (result.status === 200 && outcomes !== undefined) return { kind: 'answered', outcomes };
    return { kind: 'failed', detail: `the backend server answered ${result.status}` };
  }

  async function sendPieces(
    { serverId }: ListedServer,
    pieces: readonly PieceRequest[],
    timeoutMs: number,
  ): Promise<BatchOutcome> {
    const backend = backends.find(serverId);
    if (backend === undefined) return { kind: 'gone' };
    const result = await backend.connections.send({
      ...protocol.buildPiecesRequest(serverId, pieces),
      signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
    });
    return readResult(result, pieces.length);
  }

  function sendFree({ serverId }: ListedServer, handles: readonly string[]): void {
    const backend = backends.find(serverId);
    if (backend === undefined) return;
    const call = protocol.buildFreeRequest(serverId, handles);
    const signal = AbortSignal.timeout(FREE_TIMEOUT_MS);
    void backend.connections.send({ ...call, signal }).then((result) => {
      if (result.kind === 'answered') return;
      logger.debug('results could not be given up', {
        backendServer: serverId,
        count: handles.length,
        detail: result.detail,
      });
    });
  }

  return {
    find: (poolId) => dispatchers.get(poolId),
    listPools: () => [...dispatchers.keys()],
    countWaiting: () =>
      [...dispatchers.values()].reduce((sum, dispatcher) => sum + dispatcher.countWaiting(), 0),
    update(pools, servers) {
      for (const [poolId, { stage }] of pools) {
        if (stage === undefined) continue;
        const dispatcher =
          dispatchers.get(poolId) ??
          createPieceDispatcher({
            poolId,
            clock,
            logger,
            sendPieces,
            sendFree,
            onServerReplaced: options.onGone,
            mayRetry: () => options.mayRepeat(poolId),
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
