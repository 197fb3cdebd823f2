import type { Failure } from '@endiveferry/base';

import { buildForwardFailure } from './buildForwardFailure.js';
import type { AttemptOutcome } from './classifyAttempt.js';
import type { ForwardOutcome } from './ForwardRequest.js';
import type { ForwardState } from './ForwardState.js';
import { sendFailure } from './sendFailure.js';

function recordCutStream(state: ForwardState, { reason, detail }: Failure): void {
  const { request, options, relay, attempt, retryRefusal } = state;
  // The caller broke the stream off itself.
  if (request.connection.signal.aborted) return;
  options.metrics.recordCutStream(request.poolId, retryRefusal ?? 'unknown');
  options.logger.warn('stream broken off before its end', {
    requestId: request.metadata.requestId,
    pool: request.poolId,
    reason,
    detail,
    notRetried: retryRefusal,
    abortCause: attempt.abortCause,
    events: relay.countEvents(),
    lastEventId: relay.lastEventId(),
    silentMs: Math.round(options.clock.now() - state.lastActiveAt),
    remainingMs: Math.round(request.streamEndAt - options.clock.now()),
    isStopping: options.stopDeadline.hasPassed(),
  });
}

/**
 * Sends the last attempt's response to the caller if it may be forwarded, else a failure. A stream
 * that has begun is broken off.
 *
 * @param state - the request, with the reason why it is not sent to another server
 * @param outcome - the outcome of its last attempt; undefined if there was none
 * @returns the outcome of the request
 * @internal
 */
export function sendResponse(
  state: ForwardState,
  outcome: AttemptOutcome | undefined,
): ForwardOutcome {
  const { request, options } = state;
  const { responder } = request;
  const common = {
    servers: [...state.attemptedIds],
    firstEventAt: state.firstEventAt,
    sentAt: state.sentAt,
    retryRefusal: state.retryRefusal,
  };
  if (outcome?.kind === 'success' || outcome?.kind === 'failure-answer') {
    const { status, headers, body } = outcome.response;
    if (!responder.hasStarted()) {
      responder.send({ status, headers: options.protocol.buildResponseHeaders(headers), body });
      return { ...common, failure: undefined, status };
    }
    // The events of a complete stream were forwarded as they arrived.
    if (outcome.kind === 'success') return { ...common, failure: undefined, status };
  }
  const failure = buildForwardFailure(state, outcome);
  if (responder.hasStarted()) {
    recordCutStream(state, failure);
    responder.abort();
    return { ...common, failure, status: undefined };
  }
  return { ...common, ...sendFailure(failure, request.metadata.requestId, responder, options) };
}
