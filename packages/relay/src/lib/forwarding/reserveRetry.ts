import { isWithheld, type AttemptOutcome } from './classifyAttempt.js';
import { findAttemptEndAt, type ForwardState, type RetryRefusal } from './ForwardState.js';
import { isRepeatable } from '../RelayConfiguration.js';

/** Number of failed connection attempts after which a request fails. */
const MAX_CONNECT_FAILURES = 3;

/**
 * Reserves another attempt for a request whose last one has failed.
 *
 * @param state - the request
 * @param outcome - the outcome of the last attempt
 * @returns why no further attempt is allowed; undefined when one is reserved
 * @internal
 */
export function reserveRetry(
  state: ForwardState,
  outcome: AttemptOutcome,
): RetryRefusal | undefined {
  const { request, options } = state;
  if (request.connection.signal.aborted) return 'caller-left';
  if (options.clock.now() >= findAttemptEndAt(state)) return 'deadline';
  if (options.stopDeadline.hasPassed()) return 'stop';
  if (outcome.kind === 'not-sent') {
    if (isWithheld(outcome)) return undefined;
    state.connectFailures += 1;
    return state.connectFailures < MAX_CONNECT_FAILURES ? undefined : 'no-connection';
  }
  if (outcome.kind === 'failure-answer' && !outcome.isServerError) return 'final-response';
  if (outcome.kind !== 'refused' && !isRepeatable(request.route)) return 'not-repeatable';
  if (state.sentAttempts >= request.route.maxAttempts) return 'attempts';
  return options.budget.tryWithdraw() ? undefined : 'budget';
}
