import type { Failure, FailureReason, RequestId } from '@endiveferry/base';

const MILLISECONDS_PER_SECOND = 1_000;

const statusByReason: Readonly<Record<FailureReason, number>> = {
  'bad-request': 400,
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  'body-too-large': 413,
  'headers-too-large': 431,
  'body-timeout': 408,
  'key-conflict': 422,
  'key-unproven': 409,
  'limit-reached': 429,
  overloaded: 503,
  'too-large': 503,
  'deadline-unreachable': 503,
  'deadline-exceeded': 504,
  'no-backend-server': 503,
  'connect-failed': 502,
  'connection-lost': 502,
  'server-refused': 502,
  'input-lost': 502,
  'server-error': 502,
  'bad-answer': 502,
  cancelled: 499,
  draining: 503,
  'part-blocked': 503,
  'request-blocked': 503,
  'cannot-resume': 503,
  internal: 500,
};

/**
 * Problem details of a failed request (RFC 9457), with the verdict on whether the request ran.
 *
 * @internal
 */
export interface Problem {
  readonly type: string;
  readonly title: FailureReason;
  readonly status: number;
  readonly detail: string;
  readonly execution: Failure['execution'];
  readonly requestId: RequestId;
}

/**
 * Builds the problem details that a caller receives.
 *
 * @param requestId - identifies the failed request
 * @param failure - reason and verdict of the failure
 * @returns the problem details, and the headers to send with them
 * @internal
 */
export function buildProblem(
  requestId: RequestId,
  failure: Failure,
): { readonly problem: Problem; readonly headers: Readonly<Record<string, string>> } {
  const problem = {
    type: `urn:endiveferry:problem:${failure.reason}`,
    title: failure.reason,
    status: statusByReason[failure.reason],
    detail: failure.detail,
    execution: failure.execution,
    requestId,
  };
  if (failure.retryAfterMs === undefined) return { problem, headers: {} };
  const seconds = Math.ceil(failure.retryAfterMs / MILLISECONDS_PER_SECOND);
  return { problem, headers: { 'retry-after': String(Math.max(1, seconds)) } };
}
