import { NO_LONGER_NEEDED } from '@endiveferry/base';
import type { ResponseStart } from '@endiveferry/routing';

import { checkSuspects } from './checkSuspects.js';
import { classifyAttempt, type AttemptOutcome, type BackendResponse } from './classifyAttempt.js';
import type { ChosenBackend } from './ForwardRequest.js';
import {
  countAttemptEvents,
  type AbortCause,
  type AttemptProgress,
  type ForwardState,
} from './ForwardState.js';
import { isRepeatable } from '../RelayConfiguration.js';
import type { Backend } from '../servers/createBackends.js';
import { watchAttempt } from './watchAttempt.js';

function startResponse(state: ForwardState, backend: Backend, start: ResponseStart): boolean {
  const { request, options, relay } = state;
  const metadata = options.protocol.parseResponse(start.status, start.headers);
  if (metadata.requestId !== undefined && metadata.requestId !== request.metadata.requestId) {
    start.abort(new Error('the response has the id of another request'));
    return false;
  }
  // On a kept connection, a rejection that does not name its request could be repeated before the
  // response to a later one. After a lost input, the next request at the same server may have the
  // same id.
  const isNotRun = metadata.isRejection || metadata.isMisdirected;
  if (isNotRun && (metadata.requestId === undefined || metadata.isInputLost)) start.discardBody();
  if (metadata.isSigned || metadata.isRejection) {
    options.signals.record(backend.server, metadata, request.metadata.requestId);
    // Taken from the head, because the load that a stream began with is old when the stream ends.
    if (metadata.load !== undefined && !metadata.isMisdirected) backend.recordLoad(metadata.load);
  }
  const isStream = start.status === 200 && metadata.isSigned && metadata.isEventStream;
  if (isStream) relay.startSource(start);
  return isStream;
}

/**
 * Sends a request to a backend server and forwards the events of its stream.
 *
 * @param state - the request
 * @param chosen - the server
 * @returns the outcome; the response of a complete stream has been forwarded
 * @internal
 */
export async function runAttempt(
  state: ForwardState,
  { backend, promptTokens }: ChosenBackend,
): Promise<AttemptOutcome> {
  const { request, options, relay } = state;
  const { callerRequest, metadata, route } = request;
  const controller = new AbortController();
  const attempt: AttemptProgress = {
    hasHead: false,
    sentAt: undefined,
    eventsBefore: relay.countEvents(),
    abortCause: undefined,
    notReplaced: undefined,
  };
  state.attempt = attempt;
  const abort = (cause: AbortCause) => {
    attempt.abortCause ??= cause;
    controller.abort(NO_LONGER_NEEDED);
  };
  const abortForCaller = () => abort('caller-left');
  request.connection.signal.addEventListener('abort', abortForCaller, { once: true });
  const mayRetry = isRepeatable(route) && state.sentAttempts + 1 < route.maxAttempts;
  void watchAttempt(state, { signal: controller.signal, abort, mayRetry });
  const endWatch = options.stopDeadline.watch(() => {
    if (!request.responder.hasStarted()) abort('stop');
  });
  const stream = { hasStarted: false };
  const deadlineAt = route.kind === 'streaming' ? request.streamEndAt : request.endAt;
  const running = backend.startCall(promptTokens);
  const startedAt = options.clock.now();
  state.running = running;
  state.server = backend.server;
  state.connectMs = undefined;
  const result = await backend.connections.send({
    method: callerRequest.method,
    path: callerRequest.target,
    rawHeaders: options.protocol.buildForwardHeaders(callerRequest, {
      remainingMs: Math.max(1, Math.floor(deadlineAt - options.clock.now())),
      serverId: backend.server.serverId,
      workspaceId: request.workspaceId,
      rank: route.kind === 'streaming' ? request.rank : undefined,
      inputs: request.inputs,
      resumeAfter: relay.lastEventId(),
    }),
    ...(callerRequest.body.length > 0 ? { rawBody: callerRequest.body } : {}),
    signal: controller.signal,
    // The call may have waited for a connection since the last check.
    maySend: () =>
      options.mayReceive(backend.server) &&
      checkSuspects(request.suspectIds, options.crashes) === undefined,
    onSent() {
      const now = options.clock.now();
      state.sentAt ??= now;
      attempt.sentAt = now;
      state.connectMs = now - startedAt;
    },
    onStart(start) {
      attempt.hasHead = true;
      stream.hasStarted = startResponse(state, backend, start);
      return stream.hasStarted;
    },
    onData: (chunk) => relay.push(chunk),
    countKept: relay.countKept,
  });
  running.end();
  endWatch();
  controller.abort(NO_LONGER_NEEDED);
  request.connection.signal.removeEventListener('abort', abortForCaller);
  const outcome = classifyAttempt(result, metadata.requestId, options.protocol);
  if (outcome.kind !== 'success') return outcome;
  if (!stream.hasStarted) {
    if (!request.responder.hasStarted()) return outcome;
    return { kind: 'broken', reason: 'bad-answer', detail: 'the resumption has no events' };
  }
  const reason = 'connection-lost';
  if (isEmptyUntilClose(state, outcome.response)) {
    return { kind: 'broken', reason, detail: 'the stream ended before its first event' };
  }
  if (relay.end()) return outcome;
  return { kind: 'broken', reason, detail: 'the stream ended in the middle of an event' };
}

/**
 * Returns whether a stream without a length, which ends with its connection, ended without any
 * event of this attempt: a server that crashes as it begins its response leaves the same bytes.
 */
function isEmptyUntilClose(state: ForwardState, { headers }: BackendResponse): boolean {
  const hasLength =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return !hasLength && countAttemptEvents(state) === 0;
}
