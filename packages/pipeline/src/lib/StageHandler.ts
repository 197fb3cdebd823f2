import type {
  Failure,
  PipelineId,
  RankId,
  RequestId,
  StageId,
  WorkspaceId,
} from '@endiveferry/base';
import type { CallResult, ServerLease } from '@endiveferry/routing';
import type { Pipeline, Rank, Stage } from '@endiveferry/settings';
import type { RecordEvent } from '@endiveferry/telemetry';

import type { PoolRuntime } from './createPoolSet.js';

/**
 * Progress of a request, reported to a caller that reads a stream.
 *
 * @public
 */
export type ProgressEvent =
  | { readonly type: 'stage'; readonly stageId: StageId }
  | { readonly type: 'token'; readonly stageId: StageId; readonly text: string };

/**
 * A request that a pipeline runs.
 *
 * @public
 */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly pipelineId: PipelineId;
  readonly pipeline: Pipeline;
  readonly rankId: RankId;
  readonly rank: Rank;
  readonly workspaceId: WorkspaceId;
  /** Monotonic timestamps, in milliseconds. */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly body: unknown;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly idempotencyKey?: string;
  /** Whether this host may still run a non-idempotent call; checked just before it is written. */
  readonly mayRun?: () => boolean;
  readonly recordEvent: RecordEvent;
  readonly onProgress?: (event: ProgressEvent) => void;
}

/**
 * Context of the attempts of a stage.
 *
 * @public
 */
export interface AttemptContext {
  readonly request: RequestContext;
  readonly stageId: StageId;
  readonly stage: Stage;
  readonly pool: Pick<PoolRuntime, 'clock' | 'settings'>;
  readonly input: Readonly<Record<string, unknown>>;
}

/**
 * One stage of one request, with the pool that runs it.
 *
 * @public
 */
export interface StageRun extends AttemptContext {
  readonly pool: PoolRuntime;
  /** Latest start that can still meet the deadline, in milliseconds of monotonic time. */
  readonly latestStartAt: number;
}

/**
 * Result of one attempt of a stage.
 *
 * @public
 */
export type AttemptResult =
  | { readonly kind: 'done'; readonly output: unknown; readonly tokens: number }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      /** Whether the failure counts as a server failure, as server overload, or as neither. */
      readonly attributedTo: 'server' | 'overload' | 'none';
      /** Whether another attempt can succeed, provided that the stage may be repeated. */
      readonly canRetry: boolean;
    };

/** Runs one attempt of a stage on a leased backend server. @public */
export type RunAttempt = (options: AttemptOptions) => Promise<AttemptResult>;

/**
 * Options of one attempt.
 *
 * @public
 */
export interface AttemptOptions {
  readonly lease: ServerLease;
  readonly signal: AbortSignal;
  /** Whether to open a new connection, because a pooled one may be half-open. */
  readonly usesNewConnection: boolean;
  /** Priority of the call in the server's queue; 0 is served first. */
  readonly priority: number;
  /** Whether another attempt could follow, so that one that stalls may be given up. */
  readonly mayReplace: () => boolean;
}

/**
 * Protocol of one kind of backend server.
 *
 * @public
 */
export interface StageHandler {
  /** Returns the work class of a call; the calls of a class share one service time estimate. */
  readonly getWorkClass: (stage: Stage, input: Readonly<Record<string, unknown>>) => string;
  /** Computes the hashes of the prompt's prefixes; none for kinds without a prompt. */
  readonly computePrefixes: (input: Readonly<Record<string, unknown>>) => readonly string[];
  /** Creates the function that runs attempts of a stage; the attempts share its state. */
  readonly createAttemptRunner: (run: AttemptContext) => RunAttempt;
}

/** Retry delay assumed for a call that the backend server rejected. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Classifies a call that returned no usable response.
 *
 * @param result - the result of the call
 * @param refusalStatuses - statuses that guarantee that the server did not start the call
 * @returns the failure, and whether it is attributed to the server
 * @internal
 */
export function classifyCallFailure(
  result: CallResult,
  refusalStatuses: readonly number[],
): Extract<AttemptResult, { kind: 'failed' }> {
  if (result.kind !== 'answered') {
    const execution = result.kind === 'not-sent' ? 'not-run' : 'may-have-run';
    const { reason, detail } = result;
    const isCancelled = reason === 'cancelled';
    return {
      kind: 'failed',
      failure: { reason, detail, execution },
      attributedTo: isCancelled ? 'none' : 'server',
      canRetry: !isCancelled,
    };
  }
  const { status } = result;
  const detail = `the backend server responded with status ${status}`;
  if (refusalStatuses.includes(status)) {
    const failure: Failure = {
      reason: 'overloaded',
      detail,
      execution: 'not-run',
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    };
    return { kind: 'failed', failure, attributedTo: 'overload', canRetry: true };
  }
  const isServerError = status >= 500;
  return {
    kind: 'failed',
    failure: {
      reason: isServerError ? 'server-error' : 'server-refused',
      detail,
      execution: isServerError ? 'may-have-run' : 'ran',
    },
    attributedTo: isServerError ? 'server' : 'none',
    canRetry: isServerError,
  };
}

/**
 * Creates the failure of a call whose response violates the server's protocol.
 *
 * @param detail - description of the violation
 * @returns the failed attempt result
 * @internal
 */
export function createInvalidResponseFailure(detail: string): AttemptResult {
  return {
    kind: 'failed',
    failure: { reason: 'bad-answer', detail, execution: 'ran' },
    attributedTo: 'server',
    canRetry: true,
  };
}
