import type { ServerLimits } from '@endiveferry/admission';
import type { BackendServerId, Clock, Failure, PoolId } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { RelayMetrics } from '../createRelayMetrics.js';
import type { BatchOutcome, PieceRequest } from '../ports.js';
import type { ServerRamps } from '../servers/createServerRamps.js';
import type { ListedServer, StageCapacity } from '../RelayConfiguration.js';
import type { EstimateWaitMs, RankWait } from '../RankWait.js';
import type { PieceGroup } from './WaitingGroup.js';

/** Result of a piece, kept at the replica that made it. @public */
export interface PieceResult {
  readonly serverId: BackendServerId;
  readonly handle: string;
}

/**
 * Dispatcher of a pool: collects pieces from all hosts into batched calls to the pool's replicas.
 *
 * @public
 */
export interface PieceDispatcher {
  /**
   * Runs a group and returns its results in the order of its pieces. `onInputsFetched` is called
   * at most once, when the replicas have fetched all inputs; the group may still be running then.
   */
  run(
    group: PieceGroup,
    signal: AbortSignal,
    onInputsFetched?: () => void,
  ): Promise<Result<readonly PieceResult[], Failure>>;
  /** Frees results that are not needed any more. */
  free(results: readonly PieceResult[]): void;
  /** Applies the pool's configured capacity and its current server list. */
  update(capacity: StageCapacity, servers: readonly ListedServer[]): void;
  /** Returns the expected waiting times of newly arriving groups, by rank, most urgent first. */
  readonly listWaits: () => readonly RankWait[];
  /** Returns the number of waiting pieces. */
  readonly countWaiting: () => number;
  /** Returns the number of groups whose pieces wait or run. */
  readonly countGroups: () => number;
}

/** Limits that replicas have named, or that apply while they are cold. @public */
export interface ReplicaLimits extends Pick<ServerLimits, 'isLimited' | 'maySend' | 'recordSent'> {
  /** Whether this host has a share of a limit; by default it has one of each. */
  readonly hasShare?: (serverId: BackendServerId) => boolean;
}

/** Ramps of replicas that have started or recovered. @public */
export type ReplicaRamps = Pick<ServerRamps, 'findAllowance' | 'record'>;

/**
 * Options of a dispatcher.
 *
 * @public
 */
export interface PieceDispatcherOptions {
  readonly poolId: PoolId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<
    RelayMetrics,
    'recordPieceCall' | 'recordFailedPiece' | 'recordUnusedResult'
  >;
  readonly sendPieces: (
    server: ListedServer,
    pieces: readonly PieceRequest[],
    timeoutMs: number,
  ) => Promise<BatchOutcome>;
  readonly sendFree: (server: ListedServer, handles: readonly string[]) => void;
  /** Limits that replicas have named; by default none has. */
  readonly limits?: ReplicaLimits;
  /** Ramps of the replicas; by default none is active. */
  readonly ramps?: ReplicaRamps;
  /** Called with a server whose address has been taken over by another server. */
  readonly onServerReplaced: (serverId: BackendServerId) => void;
  /** Estimates the waiting time at another pool, in milliseconds, from this host's local state. */
  readonly estimateWaitMs: EstimateWaitMs;
  /** Withdraws a retry from the retry budget; returns false when the budget is spent. */
  readonly tryWithdrawRetry: () => boolean;
  /** Adds the result of a piece to what the retry budget is a share of. */
  readonly recordPieceRun?: () => void;
}
