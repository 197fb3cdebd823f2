import type { Stage } from '@endiveferry/settings';
import { z } from 'zod';

import {
  createInvalidResponseFailure,
  classifyCallFailure,
  type AttemptResult,
  type StageHandler,
  type AttemptContext,
} from './StageHandler.js';

/** Time after which an unfinished non-idempotent call is abandoned with an unknown outcome. */
const NON_IDEMPOTENT_CALL_TIMEOUT_MS = 60_000;

/**
 * Path and response validator of one kind of server.
 *
 * @internal
 */
export interface UnaryKind {
  /** Returns the path of the call. */
  readonly getPath: (stage: Stage) => string;
  /** Validator of the response document. */
  readonly responseSchema: z.ZodType;
}

function parseResponse(kind: UnaryKind, run: AttemptContext, body: Buffer): AttemptResult {
  let document: unknown;
  try {
    document = JSON.parse(body.toString('utf8'));
  } catch {
    return createInvalidResponseFailure('the response is not valid JSON');
  }
  const parsed = kind.responseSchema.safeParse(document);
  if (parsed.success) return { kind: 'done', output: parsed.data, tokens: 0 };
  const [issue] = parsed.error.issues;
  return createInvalidResponseFailure(
    `invalid response from pool ${run.stage.pool}: ${issue?.message ?? ''}`,
  );
}

function buildHeaders(run: AttemptContext, priority: number): Record<string, string> {
  const { request, stageId } = run;
  const headers: Record<string, string> = {
    'x-request-id': `${request.requestId}.${stageId}`,
    'x-priority': String(priority),
  };
  if (request.idempotencyKey !== undefined && !run.stage.isIdempotent) {
    headers['idempotency-key'] = `${request.workspaceId}.${request.idempotencyKey}.${stageId}`;
  }
  return headers;
}

/** Checks again before the write: after an event loop stall the caller may have timed out. */
function maySend({ request, pool }: AttemptContext): boolean {
  return pool.clock.now() <= request.deadlineAt && request.mayRun?.() !== false;
}

/**
 * Creates the handler of a kind of server that responds to each call with one JSON document.
 *
 * @param kind - path and response validator of the kind
 * @returns the handler
 * @internal
 */
export function createUnaryHandler(kind: UnaryKind): StageHandler {
  return {
    getWorkClass: (stage) => kind.getPath(stage),
    computePrefixes: () => [],
    createAttemptRunner:
      (run) =>
      async ({ lease, signal, priority, usesNewConnection }) => {
        const { stage, request } = run;
        const result = await lease.send({
          method: 'POST',
          path: kind.getPath(stage),
          headers: buildHeaders(run, priority),
          body: run.input,
          signal: stage.isIdempotent ? signal : AbortSignal.timeout(NON_IDEMPOTENT_CALL_TIMEOUT_MS),
          usesNewConnection: usesNewConnection || !stage.isIdempotent,
          ...(stage.isIdempotent ? {} : { maySend: () => maySend(run) }),
        });
        if (result.kind !== 'answered' || result.status !== 200) {
          return classifyCallFailure(result, run.pool.settings().refusalStatuses);
        }
        const echoedRequestId = result.headers['x-request-id'];
        if (
          echoedRequestId !== undefined &&
          echoedRequestId !== `${request.requestId}.${run.stageId}`
        ) {
          return createInvalidResponseFailure('the response belongs to another request');
        }
        return parseResponse(kind, run, result.body);
      },
  };
}
