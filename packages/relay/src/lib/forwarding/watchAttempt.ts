import { isAborted, waitFor } from '@endiveferry/base';

import {
  findAttemptEndAt,
  type AbortCause,
  type ForwardState,
  type RetryRefusal,
} from './ForwardState.js';
import { reserveReplacement } from './reserveReplacement.js';

/** Multiple of the target latency after which an unanswered repeatable request is retried. */
const RETRY_TIMEOUT_FACTOR = 1.5;
/** Lower bound of that timeout, in milliseconds. */
const MIN_RETRY_TIMEOUT_MS = 150;
/** Lower bound of the first-event timeout of a resumable stream, in milliseconds. */
const MIN_STREAM_TIMEOUT_MS = 2_500;
/** Longest gap between events before a resumable stream is resumed elsewhere, in milliseconds. */
const EVENT_TIMEOUT_MS = 1_500;
/** Time until it is checked again whether a silent attempt can be replaced, in milliseconds. */
const RESERVE_INTERVAL_MS = 250;
/** The same after the stages could not run again, which takes more than a check, in milliseconds. */
const RENEW_INTERVAL_MS = 1_500;

/** An attempt that may be aborted. @internal */
export interface RunningAttempt {
  /** Aborts when the attempt ends or is aborted elsewhere. */
  readonly signal: AbortSignal;
  readonly abort: (cause: AbortCause) => void;
  /** Whether the request may be sent to another server. */
  readonly mayRetry: boolean;
}

/**
 * Aborts an attempt at its deadline. An attempt that may be retried is also aborted after a time
 * without data, but only once the next attempt is reserved: until then it is the only one that may
 * still complete the response, as an engine that preempts a request goes on after a while.
 *
 * @param state - the request
 * @param attempt - the attempt
 * @internal
 */
export async function watchAttempt(
  state: ForwardState,
  { signal, abort, mayRetry }: RunningAttempt,
): Promise<void> {
  const { clock } = state.options;
  const startedAt = clock.now();
  let reserveAt = startedAt;
  while (!signal.aborted) {
    const now = clock.now();
    const endAt = findAttemptEndAt(state);
    if (now >= endAt) {
      abort('deadline');
      return;
    }
    const dueAt = Math.max(reserveAt, findActiveAt(state, startedAt) + getRetryTimeoutMs(state));
    if (!mayRetry || now < dueAt) {
      await waitFor(clock, (mayRetry ? Math.min(dueAt, endAt) : endAt) - now, signal);
      continue;
    }
    // After a delay of this process, what arrived meanwhile has not been read yet.
    await state.request.connection.confirm();
    if (isAborted(signal)) return;
    if (findActiveAt(state, startedAt) + getRetryTimeoutMs(state) > clock.now()) continue;
    const replacement = await reserveReplacement(state, signal);
    if (replacement.isOk()) {
      state.replacement = replacement.value;
      abort('silence');
      return;
    }
    const refusal = replacement.error;
    if (refusal !== 'progress') recordWait(state, refusal);
    reserveAt = clock.now() + (refusal === 'inputs' ? RENEW_INTERVAL_MS : RESERVE_INTERVAL_MS);
  }
}

/** Returns the monotonic time up to which the server's silence means nothing, in milliseconds. */
function findActiveAt({ options, relay, lastActiveAt }: ForwardState, startedAt: number): number {
  return relay.isPaused() ? options.clock.now() : Math.max(startedAt, lastActiveAt);
}

function getRetryTimeoutMs({ request }: ForwardState): number {
  const { route, responder } = request;
  if (responder.hasStarted()) return EVENT_TIMEOUT_MS;
  if (route.kind === 'streaming') return Math.max(MIN_STREAM_TIMEOUT_MS, route.targetLatencyMs);
  return Math.max(MIN_RETRY_TIMEOUT_MS, route.targetLatencyMs * RETRY_TIMEOUT_FACTOR);
}

/** Logs, once for each reason, why a silent attempt goes on. */
function recordWait(state: ForwardState, notReplaced: RetryRefusal): void {
  const { request, options, attempt, server } = state;
  if (attempt.notReplaced === notReplaced) return;
  attempt.notReplaced = notReplaced;
  options.logger.info('a silent backend server is waited for', {
    requestId: request.metadata.requestId,
    backendServer: server?.serverId,
    notReplaced,
    silentMs: Math.round(options.clock.now() - state.lastActiveAt),
    remainingMs: Math.round(findAttemptEndAt(state) - options.clock.now()),
  });
}
