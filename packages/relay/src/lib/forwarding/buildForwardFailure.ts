import { createNotRunFailure, type Failure } from '@endiveferry/base';

import { isWithheld, type AttemptOutcome } from './classifyAttempt.js';
import { findAttemptEndAt, type ForwardState } from './ForwardState.js';

/**
 * Builds the failure of a request that is not tried again.
 *
 * @param state - the request
 * @param outcome - the outcome of its last attempt; undefined if there was none
 * @returns the failure
 * @throws Error when the last attempt was successful
 * @internal
 */
export function buildForwardFailure(
  state: ForwardState,
  outcome: AttemptOutcome | undefined,
): Failure {
  const { request, options, execution } = state;
  if (request.connection.signal.aborted) {
    return { reason: 'cancelled', detail: 'the caller disconnected', execution };
  }
  if (options.stopDeadline.hasPassed()) {
    return { reason: 'draining', detail: 'this host stopped before the response', execution };
  }
  if (options.clock.now() >= findAttemptEndAt(state) && execution !== 'not-run') {
    return { reason: 'deadline-exceeded', detail: 'no response before the deadline', execution };
  }
  const wasNotTaken = outcome === undefined || isWithheld(outcome) || outcome.kind === 'refused';
  const shortage =
    wasNotTaken && execution === 'not-run' ? options.checkServers(request) : undefined;
  if (shortage !== undefined) return shortage;
  if (outcome === undefined || isWithheld(outcome)) {
    return createNotRunFailure(
      'no-backend-server',
      `no server of pool ${request.poolId} is usable`,
    );
  }
  const reasons = { refused: 'server-refused', 'failure-answer': 'server-error' } as const;
  if (outcome.kind === 'success') throw new Error('a successful attempt has no failure');
  const reason = 'reason' in outcome ? outcome.reason : reasons[outcome.kind];
  const detail =
    'detail' in outcome
      ? outcome.detail
      : `the backend server responded with status ${outcome.response.status}`;
  return { reason, detail, execution };
}
