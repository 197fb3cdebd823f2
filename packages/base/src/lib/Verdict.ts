import { z } from 'zod';

/** Validator of {@link Execution}. @public */
export const executionSchema = z.enum(['not-run', 'may-have-run', 'ran']);

/**
 * What is known about whether a request ran.
 *
 * - `not-run`: nothing of it was handed to a backend server, or each one refused it before starting.
 * - `may-have-run`: some of it was handed over, and its fate is unknown or it is not the whole.
 * - `ran`: the stage that failed certainly ran, or one that may not be repeated did.
 *
 * @public
 */
export type Execution = z.infer<typeof executionSchema>;

/** Validator of {@link FailureReason}. @public */
export const failureReasonSchema = z.enum([
  'bad-request',
  'unauthenticated',
  'forbidden',
  'not-found',
  'body-too-large',
  'headers-too-large',
  'key-conflict',
  'key-unproven',
  'limit-reached',
  'overloaded',
  'deadline-unreachable',
  'deadline-exceeded',
  'no-backend-server',
  'connect-failed',
  'connection-lost',
  'server-refused',
  'server-error',
  'input-lost',
  'bad-answer',
  'cancelled',
  'draining',
  'internal',
]);

/** Why a request or a call failed. @public */
export type FailureReason = z.infer<typeof failureReasonSchema>;

/**
 * A failure together with the verdict on whether the work may have run.
 *
 * @public
 */
export interface Failure {
  readonly reason: FailureReason;
  /** A sentence for people; it holds no secret and no part of a body. */
  readonly detail: string;
  readonly execution: Execution;
  /** When trying again makes sense, in milliseconds from now; absent where it doesn't. */
  readonly retryAfterMs?: number;
}

const executionOrder: Record<Execution, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/**
 * Joins the verdicts on two parts of one request.
 *
 * @param first - the verdict on one part
 * @param second - the verdict on the other
 * @returns the verdict on the whole: the one that claims the most execution
 * @public
 */
export function mergeExecution(first: Execution, second: Execution): Execution {
  return executionOrder[first] >= executionOrder[second] ? first : second;
}

/**
 * Creates a failure whose work was provably never handed over.
 *
 * @param reason - why
 * @param detail - a sentence for people
 * @param retryAfterMs - when trying again makes sense, in milliseconds
 * @returns the failure
 * @public
 */
export function createNotRunFailure(
  reason: FailureReason,
  detail: string,
  retryAfterMs?: number,
): Failure {
  const failure = { reason, detail, execution: 'not-run' } as const;
  return retryAfterMs === undefined ? failure : { ...failure, retryAfterMs };
}
