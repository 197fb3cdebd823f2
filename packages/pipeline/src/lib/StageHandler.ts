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
 * What happens on the way, for a caller that reads a stream.
 *
 * @public
 */
export type ProgressEvent =
  | { readonly type: 'stage'; readonly stageId: StageId }
  | { readonly type: 'token'; readonly stageId: StageId; readonly text: string };

/**
 * One request on its way through a pipeline.
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
  /** Monotonic times, in milliseconds. */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly body: unknown;
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
  readonly idempotencyKey?: string;
  /** Asked right before a call that may not be repeated is written: may this host still run it? */
  readonly mayRun?: () => boolean;
  readonly recordEvent: RecordEvent;
  readonly onProgress?: (event: ProgressEvent) => void;
}

/**
 * What a single try of a stage needs to know.
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
 * One stage of one request.
 *
 * @public
 */
export interface StageRun extends AttemptContext {
  readonly pool: PoolRuntime;
  /** Monotonic time after which the rest of the pipeline cannot make the deadline. */
  readonly latestStartAt: number;
}

/**
 * How one try of a stage ended.
 *
 * @public
 */
export type AttemptResult =
  | { readonly kind: 'done'; readonly output: unknown; readonly tokens: number }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      /** What the failure says of the backend server. */
      readonly blame: 'server' | 'overload' | 'none';
      /** Whether another try makes sense, if the stage may be repeated. */
      readonly canRetry: boolean;
    };

/** Tries a stage once on a leased backend server. @public */
export type RunAttempt = (options: AttemptOptions) => Promise<AttemptResult>;

/**
 * What differs from try to try.
 *
 * @public
 */
export interface AttemptOptions {
  readonly lease: ServerLease;
  readonly signal: AbortSignal;
  /** Whether to open a new connection, because a kept one may have gone silent. */
  readonly usesOwnConnection: boolean;
  /** The order in which the server should take waiting calls; 0 is first. */
  readonly priority: number;
}

/**
 * How one kind of backend server is used.
 *
 * @public
 */
export interface StageHandler {
  /** Names work that takes about equally long, for the estimates of service time. */
  readonly getWorkClass: (stage: Stage, input: Readonly<Record<string, unknown>>) => string;
  /** Names the prefixes of the prompt, where the kind has one. */
  readonly computePrefixes: (input: Readonly<Record<string, unknown>>) => readonly string[];
  /** Creates the function that tries the stage; tries of one stage share its state. */
  readonly createAttemptRunner: (run: AttemptContext) => RunAttempt;
}

/** How long a 429 asks to wait when it names no time. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Translates a call that brought no usable answer.
 *
 * @param result - how the call ended
 * @param refusalStatuses - statuses by which the server promises that it did not start the call
 * @returns the failure, with what it says of the server
 * @internal
 */
export function translateCallFailure(
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
      blame: isCancelled ? 'none' : 'server',
      canRetry: !isCancelled,
    };
  }
  const { status } = result;
  const detail = `the backend server answered ${status}`;
  if (refusalStatuses.includes(status)) {
    const failure: Failure = {
      reason: 'overloaded',
      detail,
      execution: 'not-run',
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    };
    return { kind: 'failed', failure, blame: 'overload', canRetry: true };
  }
  const isServerFault = status >= 500;
  return {
    kind: 'failed',
    failure: {
      reason: isServerFault ? 'server-error' : 'server-refused',
      detail,
      execution: isServerFault ? 'may-have-run' : 'ran',
    },
    blame: isServerFault ? 'server' : 'none',
    canRetry: isServerFault,
  };
}

/**
 * Creates the result of a call whose answer does not follow the interface.
 *
 * @param detail - what is wrong with it
 * @returns the failed attempt
 * @internal
 */
export function createBadAnswer(detail: string): AttemptResult {
  return {
    kind: 'failed',
    failure: { reason: 'bad-answer', detail, execution: 'ran' },
    blame: 'server',
    canRetry: true,
  };
}
