import {
  createNotRunFailure,
  describeError,
  NO_LONGER_NEEDED,
  waitFor,
  type Clock,
  type Failure,
  type RequestId,
} from '@endiveferry/base';
import type { WorkspaceLimiter } from '@endiveferry/admission';
import type { Claims, KeyedOutcome, KeyedRequest } from '@endiveferry/claims';
import type { PipelineResult, PipelineRunner, ProgressEvent } from '@endiveferry/pipeline';
import type { Configuration } from '@endiveferry/settings';
import type { Logger, Metrics, RecordEvent, TraceStore } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { ParsedCall } from './parseCall.js';

/** Extra wait at the deadline, so that the verdict of a downstream timeout arrives first. */
const DEADLINE_SLACK_MS = 50;

/**
 * Result of a request, as sent to its caller.
 *
 * @internal
 */
export interface ServiceResponse extends PipelineResult {
  /** Whether the result is that of an earlier request with the same key. */
  readonly isReplay: boolean;
}

/** Data of a request besides the parameters of the call. @internal */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly arrivedAt: number;
  readonly body: unknown;
  readonly signal: AbortSignal;
  readonly onProgress?: (event: ProgressEvent) => void;
}

/**
 * Serves requests, from admission to the response.
 *
 * @internal
 */
export interface RequestService {
  serve(call: ParsedCall, context: RequestContext): Promise<Result<ServiceResponse, Failure>>;
  /** Runs a keyed request on this host, the owner of its key. */
  executeKeyed(request: KeyedRequest, mayRun: () => boolean): Promise<KeyedOutcome>;
  /** Number of requests in progress. */
  readonly countActive: () => number;
}

/**
 * Options of the request service.
 *
 * @internal
 */
export interface RequestServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly traces: TraceStore;
  readonly runner: PipelineRunner;
  readonly limiter: WorkspaceLimiter;
  /** Called on use, because claims in turn run requests through this service. */
  readonly findClaims: () => Claims;
  readonly getConfiguration: () => Configuration | undefined;
}

function buildResult(outcome: KeyedOutcome): Result<ServiceResponse, Failure> {
  if (outcome.kind === 'answer') return ok(outcome);
  const { reason, detail, execution, retryAfterMs } = outcome;
  const failure = { reason, detail, execution };
  return err(retryAfterMs === undefined ? failure : { ...failure, retryAfterMs });
}

function buildOutcome(result: Result<PipelineResult, Failure>): KeyedOutcome {
  if (result.isOk()) return { kind: 'answer', ...result.value, isReplay: false };
  return { kind: 'failure', ...result.error };
}

const needsClaim = (call: ParsedCall) =>
  call.idempotencyKey !== undefined &&
  Object.values(call.pipeline.stages).some((stage) => !stage.isIdempotent);

/**
 * Creates the request service.
 *
 * @param options - see {@link RequestServiceOptions}
 * @returns the service
 * @internal
 */
export function createRequestService(options: RequestServiceOptions): RequestService {
  const { clock, logger, metrics, traces, runner, limiter } = options;
  let active = 0;

  function runLocally(call: ParsedCall, context: RequestContext, recordEvent: RecordEvent) {
    return runner.run({
      ...call,
      requestId: context.requestId,
      arrivedAt: context.arrivedAt,
      deadlineAt: context.arrivedAt + call.deadlineMs,
      body: context.body,
      signal: context.signal,
      recordEvent,
      ...(context.onProgress === undefined ? {} : { onProgress: context.onProgress }),
      ...(call.idempotencyKey === undefined ? {} : { idempotencyKey: call.idempotencyKey }),
    });
  }

  async function runClaimed(call: ParsedCall, context: RequestContext, recordEvent: RecordEvent) {
    const key = call.idempotencyKey ?? '';
    const { workspaceId, pipelineId, rankId } = call;
    const { requestId, body } = context;
    const remainingMs = context.arrivedAt + call.deadlineMs - clock.now();
    const request = { requestId, workspaceId, pipelineId, rankId, key, remainingMs, body };
    const outcome = await options.findClaims().run(request);
    recordEvent('claim', {
      outcome: outcome.kind === 'answer' ? 'answer' : outcome.reason,
      isReplay: outcome.kind === 'answer' && outcome.isReplay,
    });
    return buildResult(outcome);
  }

  /** Responds at the deadline, even while a call that may not be repeated continues to run. */
  async function limitToDeadline(
    call: ParsedCall,
    context: RequestContext,
    running: Promise<Result<ServiceResponse, Failure>>,
  ): Promise<Result<ServiceResponse, Failure>> {
    const done = new AbortController();
    const delayMs = context.arrivedAt + call.deadlineMs - clock.now();
    const late = waitFor(clock, delayMs + DEADLINE_SLACK_MS, done.signal).then(() =>
      err<ServiceResponse, Failure>({
        reason: 'deadline-exceeded',
        detail: 'the deadline passed while a call that may not be repeated was in progress',
        execution: 'may-have-run',
      }),
    );
    const result = await Promise.race([running, late]);
    done.abort(NO_LONGER_NEEDED);
    return result;
  }

  function recordOutcome(
    call: ParsedCall,
    context: RequestContext,
    result: Result<ServiceResponse, Failure>,
    recordEvent: RecordEvent,
  ): void {
    const durationMs = clock.now() - context.arrivedAt;
    const outcome = { ...call, durationMs, isAttained: false };
    const { requestId } = context;
    if (result.isOk()) {
      metrics.recordRequest({ ...outcome, isAttained: durationMs <= call.deadlineMs });
      recordEvent('answered', { durationMs, isReplay: result.value.isReplay });
      logger.debug('request completed', { requestId, durationMs });
      return;
    }
    const { reason, execution, detail } = result.error;
    metrics.recordRequest({ ...outcome, failure: { reason, execution } });
    recordEvent('failed', { durationMs, reason, execution, detail });
    // An overload can reject thousands of requests a second. Metrics count them, traces explain them.
    const level = execution === 'not-run' ? 'debug' : 'info';
    logger[level]('request failed', { requestId, durationMs, reason, execution, detail });
  }

  async function runAdmitted(
    call: ParsedCall,
    context: RequestContext,
    recordEvent: RecordEvent,
  ): Promise<Result<ServiceResponse, Failure>> {
    const admitted = limiter.admit(call.workspaceId);
    if (admitted.isErr()) return err(admitted.error);
    active += 1;
    const running = needsClaim(call)
      ? runClaimed(call, context, recordEvent)
      : runLocally(call, context, recordEvent).then((result) =>
          result.map((response) => ({ ...response, isReplay: false })),
        );
    const finish = () => {
      active -= 1;
      admitted.value();
    };
    running.then(finish, finish);
    try {
      return await limitToDeadline(call, context, running);
    } catch (error) {
      logger.error('unexpected error while serving a request', {
        requestId: context.requestId,
        error: describeError(error),
      });
      const failure = { reason: 'internal', detail: 'internal error' } as const;
      return err({ ...failure, execution: 'may-have-run' });
    }
  }

  return {
    async serve(call, context) {
      const recordEvent = traces.startTrace(context.requestId);
      recordEvent('arrived', {
        pipeline: call.pipelineId,
        rank: call.rankId,
        workspace: call.workspaceId,
        deadlineMs: call.deadlineMs,
      });
      const result = await runAdmitted(call, context, recordEvent);
      recordOutcome(call, context, result, recordEvent);
      return result;
    },
    async executeKeyed(request, mayRun) {
      const configuration = options.getConfiguration();
      const pipeline = configuration?.pipelines[request.pipelineId];
      const rank = configuration?.ranks[request.rankId];
      if (pipeline === undefined || rank === undefined) {
        const detail = 'the owner of the key has no such pipeline or rank';
        return { kind: 'failure', ...createNotRunFailure('not-found', detail) };
      }
      active += 1;
      try {
        const result = await runner.run({
          ...request,
          pipeline,
          rank,
          arrivedAt: clock.now(),
          deadlineAt: clock.now() + request.remainingMs,
          // Never aborted: a request started under a key completes even if its caller's host is lost.
          signal: new AbortController().signal,
          idempotencyKey: request.key,
          mayRun,
          recordEvent: traces.startTrace(request.requestId),
        });
        return buildOutcome(result);
      } finally {
        active -= 1;
      }
    },
    countActive: () => active,
  };
}
