import type { PoolId } from '@endiveferry/base';
import type { Metrics } from '@endiveferry/telemetry';

import type { BatchOutcome, PieceFailure } from './ports.js';

/**
 * How a stage request to a dispatcher ended.
 *
 * - `answered`: the dispatcher replied.
 * - `unanswered`: no reply arrived, and the stage was sent elsewhere if there was time left.
 * - `abandoned`: the connection to the requesting host closed before the dispatcher replied.
 *
 * @public
 */
export type StageRequestOutcome = 'answered' | 'unanswered' | 'abandoned';

/**
 * How far a stream got before its server broke it off: `no-head` before the headers of the
 * response, `no-event` before the first event, `events` later.
 *
 * @public
 */
export type BreakProgress = 'no-head' | 'no-event' | 'events';

/** Counters of what becomes of requests and of work at stages. @public */
export interface RelayMetrics {
  /** Counts a caller that disconnected before its response was complete. */
  recordDisconnect(wasSent: boolean): void;
  /** Counts a stream that its backend server broke off. */
  recordBrokenStream(poolId: PoolId, progress: BreakProgress): void;
  /** Counts a stream that this host broke off, with the reason why it did not go on elsewhere. */
  recordCutStream(poolId: PoolId, notRetried: string): void;
  /** Counts a stream that a caller took up. */
  recordResumedStream(poolId: PoolId, outcome: 'continued' | 'rejected'): void;
  recordStageRequest(poolId: PoolId, outcome: StageRequestOutcome): void;
  recordPieceCall(poolId: PoolId, outcome: BatchOutcome['kind']): void;
  /** Counts a response on the connection of a stage call that belongs to another call. */
  recordForeignResponse(poolId: PoolId): void;
  /** Counts a piece that ran in a call without a result. */
  recordFailedPiece(poolId: PoolId, reason: PieceFailure): void;
  /** Counts results that no request needed any more when they were made. */
  recordUnusedResult(poolId: PoolId): void;
}

/**
 * Registers the counters of a relay host.
 *
 * @param metrics - metrics of the host, in which none of these counters is registered yet
 * @returns the counters
 * @public
 */
export function createRelayMetrics(metrics: Pick<Metrics, 'registerCounter'>): RelayMetrics {
  const disconnects = metrics.registerCounter(
    'endiveferry_disconnects_total',
    'callers that disconnected early, by whether their request had been sent to a backend server',
    ['sent'],
  );
  const brokenStreams = metrics.registerCounter(
    'endiveferry_broken_streams_total',
    'streams that a backend server broke off, by how far they got',
    ['pool', 'progress'],
  );
  const cutStreams = metrics.registerCounter(
    'endiveferry_cut_streams_total',
    'streams that this host broke off, by why they did not go on at another backend server',
    ['pool', 'not_retried'],
  );
  const resumedStreams = metrics.registerCounter(
    'endiveferry_resumed_streams_total',
    'streams that callers took up, by whether they could go on',
    ['pool', 'outcome'],
  );
  const stageRequests = metrics.registerCounter(
    'endiveferry_stage_requests_total',
    'requests between hosts to run a stage',
    ['pool', 'outcome'],
  );
  const pieceCalls = metrics.registerCounter(
    'endiveferry_piece_calls_total',
    'batched piece calls to replicas',
    ['pool', 'outcome'],
  );
  const foreignResponses = metrics.registerCounter(
    'endiveferry_foreign_responses_total',
    'responses of other calls that were discarded on connections of stage calls',
    ['pool'],
  );
  const failedPieces = metrics.registerCounter(
    'endiveferry_failed_pieces_total',
    'pieces of calls for which the replica returned no result, by reason',
    ['pool', 'reason'],
  );
  const unusedResults = metrics.registerCounter(
    'endiveferry_unused_results_total',
    'results that were no longer needed when they were made',
    ['pool'],
  );
  return {
    recordDisconnect: (wasSent) => disconnects({ sent: String(wasSent) }),
    recordBrokenStream: (pool, progress) => brokenStreams({ pool, progress }),
    recordCutStream: (pool, notRetried) => cutStreams({ pool, not_retried: notRetried }),
    recordResumedStream: (pool, outcome) => resumedStreams({ pool, outcome }),
    recordStageRequest: (pool, outcome) => stageRequests({ pool, outcome }),
    recordPieceCall: (pool, outcome) => pieceCalls({ pool, outcome }),
    recordForeignResponse: (pool) => foreignResponses({ pool }),
    recordFailedPiece: (pool, reason) => failedPieces({ pool, reason }),
    recordUnusedResult: (pool) => unusedResults({ pool }),
  };
}
