import type { Execution, FailureReason } from '@endiveferry/base';
import type { ResponseHeaders, CallResult } from '@endiveferry/routing';

import type { ResponseMetadata, WireProtocol } from './ports.js';

/** Statuses that promise callers that a request has not run; only a proof lets one pass. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** A backend server's whole answer. @public */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: ResponseHeaders;
  readonly body: Buffer;
}

/**
 * What one try at one backend server came to.
 *
 * - `success`: a whole, signed answer of success.
 * - `refused`: the server promises that it did not run the request.
 * - `failure-answer`: the server ran the request and says that it failed, or why it can't.
 * - `not-sent`: nothing was handed to a socket.
 * - `broken`: it was handed over, and no answer came that may be passed on.
 *
 * @public
 */
export type AttemptEnd =
  | { readonly kind: 'success'; readonly answer: WholeAnswer; readonly metadata: ResponseMetadata }
  | { readonly kind: 'refused'; readonly detail: string; readonly metadata: ResponseMetadata }
  | {
      readonly kind: 'failure-answer';
      readonly answer: WholeAnswer;
      readonly metadata: ResponseMetadata;
      /** The same request may succeed elsewhere. */
      readonly isServerError: boolean;
    }
  | { readonly kind: 'not-sent'; readonly reason: FailureReason; readonly detail: string }
  | { readonly kind: 'broken'; readonly reason: FailureReason; readonly detail: string };

/**
 * Tells what a try proves of the request.
 *
 * @param end - how the try ended
 * @returns whether the request may have run there
 * @public
 */
export function findExecution(end: AttemptEnd): Execution {
  return executions[end.kind];
}

const executions: Record<AttemptEnd['kind'], Execution> = {
  success: 'ran',
  refused: 'not-run',
  'failure-answer': 'ran',
  'not-sent': 'not-run',
  broken: 'may-have-run',
};

/**
 * Reads how a try ended. Only what is signed by the server and names the request is passed on; a
 * status that promises "has not run" counts only together with the server's own mark.
 *
 * @param result - the call's result
 * @param requestId - the request
 * @param protocol - reads statuses and headers
 * @returns what the try came to
 * @public
 */
export function readAttempt(
  result: CallResult,
  requestId: string,
  protocol: Pick<WireProtocol, 'parseResponse'>,
): AttemptEnd {
  if (result.kind === 'not-sent') return result;
  if (result.kind === 'unknown') {
    return { kind: 'broken', reason: result.reason, detail: result.detail };
  }
  const { status, headers, body } = result;
  const metadata = protocol.parseResponse(status, headers);
  const answer = { status, headers, body };
  const detail = `the backend server answered ${status}`;
  if (metadata.isRejection || metadata.isMisdirected) return { kind: 'refused', detail, metadata };
  if (metadata.requestId !== undefined && metadata.requestId !== requestId) {
    return { kind: 'broken', reason: 'bad-answer', detail: 'the answer names another request' };
  }
  if (!metadata.isSigned || PROMISE_STATUSES.has(status)) {
    return { kind: 'broken', reason: 'bad-answer', detail: `${detail}, unsigned or without proof` };
  }
  if (status < FIRST_ERROR_STATUS) return { kind: 'success', answer, metadata };
  const isServerError = status >= FIRST_SERVER_ERROR_STATUS;
  return { kind: 'failure-answer', answer, metadata, isServerError };
}
