import { z } from 'zod';

/** Schema of {@link Execution}. @public */
export const executionSchema = z.enum(['not-run', 'may-have-run', 'ran']);

/**
 * Whether a request was executed, as far as is known.
 *
 * - `not-run`: no part was sent to a backend server, or every server rejected it before starting.
 * - `may-have-run`: some part was sent, and its outcome is unknown or it is not the entire request.
 * - `ran`: the stage that failed was certainly executed, or a stage that must not be repeated was.
 *
 * @public
 */
export type Execution = z.infer<typeof executionSchema>;

/** Schema of {@link FailureReason}. @public */
export const failureReasonSchema = z.enum([
  'bad-request',
  'unauthenticated',
  'forbidden',
  'not-found',
  'body-too-large',
  'headers-too-large',
  'body-timeout',
  'key-conflict',
  'key-unproven',
  'limit-reached',
  'overloaded',
  'too-large',
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
  'part-blocked',
  'request-blocked',
  'cannot-resume',
  'internal',
]);

/** Reason why a request or a call failed. @public */
export type FailureReason = z.infer<typeof failureReasonSchema>;

/**
 * A failure, with the verdict on whether the request was executed.
 *
 * @public
 */
export interface Failure {
  readonly reason: FailureReason;
  /** Human-readable description; contains no secrets and no parts of a body. */
  readonly detail: string;
  readonly execution: Execution;
  /** Delay after which a retry can succeed, in milliseconds; absent if a retry is of no use. */
  readonly retryAfterMs?: number;
}

const executionOrder: Record<Execution, number> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/**
 * Combines the verdicts on two parts of one request.
 *
 * @param first - verdict on one part
 * @param second - verdict on the other part
 * @returns the verdict on the entire request: the one of the two that claims more execution
 * @public
 */
export function mergeExecution(first: Execution, second: Execution): Execution {
  return executionOrder[first] >= executionOrder[second] ? first : second;
}

/**
 * Creates a failure of a request that was certainly not executed.
 *
 * @param reason - reason of the failure
 * @param detail - human-readable description, without secrets or parts of a body
 * @param retryAfterMs - delay after which a retry can succeed, in milliseconds
 * @returns a failure with the verdict `not-run`
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
