import type { BackendServerId, Clock, Failure, PoolId } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { PieceRequest, PieceOutcome } from '../ports.js';
import type { ListedServer, StageCapacity } from '../RelayConfiguration.js';
import type { EstimateWaitMs, RankWait } from './RankWait.js';
import type { PieceGroup } from './WaitingGroup.js';

/** One result of a stage. @public */
export interface PieceResult {
  readonly serverId: BackendServerId;
  readonly handle: string;
}

/** How a call of several pieces ended. @public */
export type PiecesAnswer =
  | { readonly kind: 'answered'; readonly outcomes: readonly PieceOutcome[] }
  | { readonly kind: 'full' }
  | { readonly kind: 'gone' }
  | { readonly kind: 'failed'; readonly detail: string };

/**
 * Gathers the pieces of a pool from all hosts into calls.
 *
 * @public
 */
export interface PieceDispatcher {
  /**
   * Makes the results of a group, in the order of its pieces; `onInputsFetched` is called once,
   * maybe before that, when its replicas have fetched all inputs.
   */
  run(
    group: PieceGroup,
    signal: AbortSignal,
    onInputsFetched?: () => void,
  ): Promise<Result<readonly PieceResult[], Failure>>;
  /** Gives up results that nobody needs any more. */
  free(results: readonly PieceResult[]): void;
  update(capacity: StageCapacity, servers: readonly ListedServer[]): void;
  /** How long groups that came now would wait, by rank, most urgent first. */
  readonly listWaits: () => readonly RankWait[];
  /** Pieces that wait. */
  readonly countWaiting: () => number;
}

/**
 * Options of a dispatcher.
 *
 * @public
 */
export interface PieceDispatcherOptions {
  readonly poolId: PoolId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sendPieces: (
    server: ListedServer,
    pieces: readonly PieceRequest[],
    timeoutMs: number,
  ) => Promise<PiecesAnswer>;
  readonly sendFree: (server: ListedServer, handles: readonly string[]) => void;
  /** Tells of a server that another one took the address of. */
  readonly onGone: (serverId: BackendServerId) => void;
  /** Time that work waits at another pool, in milliseconds, as far as this host knows. */
  readonly estimateWaitMs: EstimateWaitMs;
  /** Asked before pieces are sent once more. */
  readonly mayRepeat: () => boolean;
}
