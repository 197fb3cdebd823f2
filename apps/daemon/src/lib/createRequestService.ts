import {
  createRefusal,
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

/** Time for the verdict of a deadline that passed further down to arrive first. */
const DEADLINE_SLACK_MS = 50;

/**
 * The answer that a caller gets.
 *
 * @internal
 */
export interface ServiceResponse extends PipelineResult {
  /** Whether the answer was given before, under the same key. */
  readonly isReplay: boolean;
}

/** How a request is to be served, besides what the caller asks for. @internal */
export interface ServeOptions {
  readonly requestId: RequestId;
  readonly arrivedAt: number;
  readonly body: unknown;
  readonly signal: AbortSignal;
  readonly onProgress?: (event: ProgressEvent) => void;
}

/**
 * Serves requests, from admission to the answer.
 *
 * @internal
 */
export interface RequestService {
  serve(call: ParsedCall, options: ServeOptions): Promise<Result<ServiceResponse, Failure>>;
  /** Runs a keyed request on this host, as its home. */
  executeKeyed(request: KeyedRequest, mayRun: () => boolean): Promise<KeyedOutcome>;
  /** Requests in progress. */
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
  /** Read late, because claims in turn run requests through this service. */
  readonly findClaims: () => Claims;
  readonly findConfiguration: () => Configuration | undefined;
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
 * Creates the service.
 *
 * @param options - see {@link RequestServiceOptions}
 * @returns the service
 * @internal
 */
export function createRequestService(options: RequestServiceOptions): RequestService {
  const { clock, logger, metrics, traces, runner, limiter } = options;
  let active = 0;

  function runLocally(call: ParsedCall, serve: ServeOptions, recordEvent: RecordEvent) {
    return runner.run({
      ...call,
      requestId: serve.requestId,
      arrivedAt: serve.arrivedAt,
      deadlineAt: serve.arrivedAt + call.deadlineMs,
      body: serve.body,
      signal: serve.signal,
      recordEvent,
      ...(serve.onProgress === undefined ? {} : { onProgress: serve.onProgress }),
      ...(call.idempotencyKey === undefined ? {} : { idempotencyKey: call.idempotencyKey }),
    });
  }

  async function runClaimed(call: ParsedCall, serve: ServeOptions, recordEvent: RecordEvent) {
    const key = call.idempotencyKey ?? '';
    const { workspaceId, pipelineId, rankId } = call;
    const { requestId, body } = serve;
    const remainingMs = serve.arrivedAt + call.deadlineMs - clock.now();
    const request = { requestId, workspaceId, pipelineId, rankId, key, remainingMs, body };
    const outcome = await options.findClaims().run(request);
    recordEvent('claim', {
      outcome: outcome.kind === 'answer' ? 'answer' : outcome.reason,
      isReplay: outcome.kind === 'answer' && outcome.isReplay,
    });
    return buildResult(outcome);
  }

  /** A call that may not be repeated goes on after the deadline; its caller is not kept waiting. */
  async function limitToDeadline(
    call: ParsedCall,
    serve: ServeOptions,
    running: Promise<Result<ServiceResponse, Failure>>,
  ): Promise<Result<ServiceResponse, Failure>> {
    const done = new AbortController();
    const delayMs = serve.arrivedAt + call.deadlineMs - clock.now();
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
    serve: ServeOptions,
    result: Result<ServiceResponse, Failure>,
    recordEvent: RecordEvent,
  ): void {
    const durationMs = clock.now() - serve.arrivedAt;
    const outcome = { ...call, durationMs, isAttained: false };
    const { requestId } = serve;
    if (result.isOk()) {
      metrics.recordRequest({ ...outcome, isAttained: durationMs <= call.deadlineMs });
      recordEvent('answered', { durationMs, isReplay: result.value.isReplay });
      logger.debug('request answered', { requestId, durationMs });
      return;
    }
    const { reason, execution, detail } = result.error;
    metrics.recordRequest({ ...outcome, failure: { reason, execution } });
    recordEvent('failed', { durationMs, reason, execution, detail });
    // A flood is refused thousands of times a second; metrics count that, and traces explain it.
    const level = execution === 'not-run' ? 'debug' : 'info';
    logger[level]('request failed', { requestId, durationMs, reason, execution, detail });
  }

  async function runAdmitted(
    call: ParsedCall,
    serve: ServeOptions,
    recordEvent: RecordEvent,
  ): Promise<Result<ServiceResponse, Failure>> {
    const admitted = limiter.admit(call.workspaceId);
    if (admitted.isErr()) return err(admitted.error);
    active += 1;
    const running = needsClaim(call)
      ? runClaimed(call, serve, recordEvent)
      : runLocally(call, serve, recordEvent).then((result) =>
          result.map((answer) => ({ ...answer, isReplay: false })),
        );
    const finish = () => {
      active -= 1;
      admitted.value();
    };
    running.then(finish, finish);
    try {
      return await limitToDeadline(call, serve, running);
    } catch (error) {
      logger.error('serving a request threw', {
        requestId: serve.requestId,
        error: describeError(error),
      });
      const failure = { reason: 'internal', detail: 'an error of this system' } as const;
      return err({ ...failure, execution: 'may-have-run' });
    }
  }

  return {
    async serve(call, serve) {
      const recordEvent = traces.startTrace(serve.requestId);
      recordEvent('arrived', {
        pipeline: call.pipelineId,
        rank: call.rankId,
        workspace: call.workspaceId,
        deadlineMs: call.deadlineMs,
      });
      const result = await runAdmitted(call, serve, recordEvent);
      recordOutcome(call, serve, result, recordEvent);
      return result;
    },
    async executeKeyed(request, mayRun) {
      const configuration = options.findConfiguration();
      const pipeline = configuration?.pipelines[request.pipelineId];
      const rank = configuration?.ranks[request.rankId];
      if (pipeline === undefined || rank === undefined) {
        const detail = 'the home of the key has no such pipeline or rank';
        return { kind: 'failure', ...createRefusal('not-found', detail) };
      }
      active += 1;
      try {
        const result = await runner.run({
          ...request,
          pipeline,
          rank,
          arrivedAt: clock.now(),
          deadlineAt: clock.now() + request.remainingMs,
          // The caller's host may be lost, but what was begun under a key is ended.
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
