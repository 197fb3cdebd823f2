import type { Stage } from '@endiveferry/settings';
import { z } from 'zod';

import {
  createBadAnswer,
  translateCallFailure,
  type AttemptResult,
  type StageHandler,
  type AttemptContext,
} from './StageHandler.js';

/** A non-idempotent call that has no end after this long is given up, with an unknown outcome. */
const MAX_UNSAFE_CALL_MS = 60_000;

/**
 * How one kind of server answers a call with one document.
 *
 * @internal
 */
export interface UnaryKind {
  /** The path of the call. */
  readonly getPath: (stage: Stage) => string;
  /** Validator of the answer. */
  readonly answerSchema: z.ZodType;
}

function parseAnswer(kind: UnaryKind, run: AttemptContext, body: Buffer): AttemptResult {
  let document: unknown;
  try {
    document = JSON.parse(body.toString('utf8'));
  } catch {
    return createBadAnswer('the answer is not JSON');
  }
  const answer = kind.answerSchema.safeParse(document);
  if (answer.success) return { kind: 'done', output: answer.data, tokens: 0 };
  const [issue] = answer.error.issues;
  return createBadAnswer(`the answer of ${run.stage.pool} is wrong: ${issue?.message ?? ''}`);
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

/** A process may have stood still since the call was begun: its caller has given up by then. */
function maySend({ request, pool }: AttemptContext): boolean {
  return pool.clock.now() <= request.deadlineAt && request.mayRun?.() !== false;
}

/**
 * Creates the handler of a kind of server that answers each call with one JSON document.
 *
 * @param kind - what is special about the kind
 * @returns the handler
 * @internal
 */
export function createUnaryHandler(kind: UnaryKind): StageHandler {
  return {
    getWorkClass: (stage) => kind.getPath(stage),
    computePrefixes: () => [],
    createAttemptRunner:
      (run) =>
      async ({ lease, signal, priority, usesOwnConnection }) => {
        const { stage, request } = run;
        const result = await lease.send({
          method: 'POST',
          path: kind.getPath(stage),
          headers: buildHeaders(run, priority),
          body: run.input,
          signal: stage.isIdempotent ? signal : AbortSignal.timeout(MAX_UNSAFE_CALL_MS),
          usesOwnConnection: usesOwnConnection || !stage.isIdempotent,
          ...(stage.isIdempotent ? {} : { maySend: () => maySend(run) }),
        });
        if (result.kind !== 'answered' || result.status !== 200) {
          return translateCallFailure(result, run.pool.settings().refusalStatuses);
        }
        const echoed = result.headers['x-request-id'];
        if (echoed !== undefined && echoed !== `${request.requestId}.${run.stageId}`) {
          return createBadAnswer('the answer belongs to another request');
        }
        return parseAnswer(kind, run, result.body);
      },
  };
}
