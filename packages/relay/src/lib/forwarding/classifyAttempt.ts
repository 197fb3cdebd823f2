import type { Execution, FailureReason } from '@endiveferry/base';
import type { HttpHeaders, CallResult } from '@endiveferry/routing';

import type { ResponseMetadata, WireProtocol } from '../ports.js';

/**
 * Statuses that tell a caller that its request was not run. They are never forwarded: with proof
 * from the server the attempt is `refused`, without it `broken`.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** A backend server's complete response. @public */
export interface BackendResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Buffer;
}

/**
 * Outcome of one attempt at one backend server.
 *
 * - `success`: a complete, signed success response.
 * - `refused`: the server guarantees that it did not run the request.
 * - `failure-answer`: a signed error response, because the request failed or cannot be run; it
 *   counts as run.
 * - `not-sent`: nothing was written to a socket.
 * - `broken`: the request was sent, and no response arrived that may be forwarded.
 *
 * @public
 */
export type AttemptOutcome =
  | {
      readonly kind: 'success';
      readonly response: BackendResponse;
      readonly metadata: ResponseMetadata;
    }
  | { readonly kind: 'refused'; readonly detail: string; readonly metadata: ResponseMetadata }
  | {
      readonly kind: 'failure-answer';
      readonly response: BackendResponse;
      readonly metadata: ResponseMetadata;
      /** Whether the same request may succeed at another server. */
      readonly isServerError: boolean;
    }
  | Extract<CallResult, { kind: 'not-sent' }>
  | { readonly kind: 'broken'; readonly reason: FailureReason; readonly detail: string };

/**
 * Returns whether an attempt was not sent because the server or the request were not to be used any
 * more.
 *
 * @param outcome - the outcome of the attempt
 * @returns whether it was withheld
 * @internal
 */
export const isWithheld = (outcome: AttemptOutcome) =>
  outcome.kind === 'not-sent' && outcome.isWithheld === true;

/**
 * Returns what an attempt proves about the execution of the request.
 *
 * @param outcome - the outcome of the attempt
 * @returns whether the request may have run there
 * @public
 */
export function getExecution(outcome: AttemptOutcome): Execution {
  return executions[outcome.kind];
}

const executions: Record<AttemptOutcome['kind'], Execution> = {
  success: 'ran',
  refused: 'not-run',
  'failure-answer': 'ran',
  'not-sent': 'not-run',
  broken: 'may-have-run',
};

/**
 * Classifies the result of an attempt. A response is forwarded only if the server signed it and it
 * does not have the id of another request. A status that means "not run" is trusted only with
 * proof from the server, see {@link ResponseMetadata}.
 *
 * @param result - the result of the call
 * @param requestId - the id of the request
 * @param protocol - parses statuses and headers
 * @returns the outcome of the attempt
 * @public
 */
export function classifyAttempt(
  result: CallResult,
  requestId: string,
  protocol: Pick<WireProtocol, 'parseResponse'>,
): AttemptOutcome {
  if (result.kind === 'not-sent') return result;
  if (result.kind === 'unknown') {
    return { kind: 'broken', reason: result.reason, detail: result.detail };
  }
  const { status, headers, body } = result;
  const metadata = protocol.parseResponse(status, headers);
  const response = { status, headers, body };
  const detail = `the backend server responded with status ${status}`;
  if (metadata.isRejection || metadata.isMisdirected) return { kind: 'refused', detail, metadata };
  if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
    return {
      kind: 'broken',
      reason: 'bad-answer',
      detail: 'the response has the id of another request',
    };
  }
  if (!metadata.isSigned || NOT_RUN_STATUSES.has(status)) {
    return {
      kind: 'broken',
      reason: 'bad-answer',
      detail: `${detail}, unsigned or without proof that the request was not run`,
    };
  }
  if (status < FIRST_ERROR_STATUS) return { kind: 'success', response, metadata };
  const isServerError = status >= FIRST_SERVER_ERROR_STATUS;
  return { kind: 'failure-answer', response, metadata, isServerError };
}
