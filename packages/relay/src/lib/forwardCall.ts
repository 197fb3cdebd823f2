import {
  createRefusal,
  mergeExecution,
  NO_LONGER_NEEDED,
  waitFor,
  type BackendServerId,
  type Execution,
  type Failure,
} from '@endiveferry/base';
import type { ResponseStart } from '@endiveferry/routing';

import type { Backend, RunningCall } from './createBackends.js';
import type {
  ChosenBackend,
  ForwardOutcome,
  ForwardPorts,
  ForwardRequest,
} from './ForwardRequest.js';
import { createStreamRelay, type StreamRelay } from './createStreamRelay.js';
import { findExecution, readAttempt, type AttemptEnd } from './readAttempt.js';
import { isRepeatable } from './RelayConfiguration.js';
import { sendFailure } from './sendFailure.js';

/** Servers that are looked for in vain, because they can't be connected to, before giving up. */
const MAX_CONNECT_FAILURES = 3;
/** A repeatable call without an answer after this many times its target is tried elsewhere. */
const PLAIN_PATIENCE = 1.5;
/** Shortest time before that, in milliseconds. */
const MIN_PLAIN_PATIENCE_MS = 150;
/** A resumable stream without its first event is tried elsewhere after its target, or so long, in milliseconds. */
const MIN_STREAM_PATIENCE_MS = 2_500;
/** A resumable stream that pauses for so long, in milliseconds, goes on elsewhere. */
const EVENT_PATIENCE_MS = 1_500;

interface ForwardState {
  /** Its inputs may be made once more. */
  request: ForwardRequest;
  readonly ports: ForwardPorts;
  readonly relay: StreamRelay;
  readonly tried: Set<BackendServerId>;
  sent: number;
  connectFailures: number;
  execution: Execution;
  firstEventAt: number | undefined;
  lastEventAt: number;
  running: RunningCall | undefined;
  hasRenewed: boolean;
}

/** Ends an attempt when the caller leaves, time is up, or a repeatable one is silent for too long. */
async function watchAttempt(
  state: ForwardState,
  attempt: AbortController,
  mayRepeat: boolean,
): Promise<void> {
  const { request, ports } = state;
  const startedAt = ports.clock.now();
  while (!attempt.signal.aborted) {
    const hasBegun = request.responder.hasStarted();
    const endAt = hasBegun ? request.streamEndAt : request.endAt;
    const patienceMs = findPatience(state);
    const silentSince = Math.max(startedAt, hasBegun ? state.lastEventAt : 0);
    const wakeAt = mayRepeat ? Math.min(endAt, silentSince + patienceMs) : endAt;
    const now = ports.clock.now();
    if (now >= wakeAt) {
      attempt.abort(NO_LONGER_NEEDED);
      return;
    }
    await waitFor(ports.clock, wakeAt - now, attempt.signal);
  }
}

function findPatience({ request }: ForwardState): number {
  const { route, responder } = request;
  if (responder.hasStarted()) return EVENT_PATIENCE_MS;
  if (route.kind === 'streaming') return Math.max(MIN_STREAM_PATIENCE_MS, route.targetLatencyMs);
  return Math.max(MIN_PLAIN_PATIENCE_MS, route.targetLatencyMs * PLAIN_PATIENCE);
}

function beginStream(state: ForwardState, start: ResponseStart): boolean {
  const { request, ports, relay } = state;
  const metadata = ports.protocol.parseResponse(start.status, start.headers);
  if (metadata.requestId !== undefined && metadata.requestId !== request.metadata.requestId) {
    start.abort(new Error('the answer names another request'));
    return false;
  }
  const isStream = start.status === 200 && metadata.isSigned && metadata.isEventStream;
  if (isStream) relay.begin(start);
  return isStream;
}

async function runAttempt(
  state: ForwardState,
  { backend, promptTokens }: ChosenBackend,
): Promise<AttemptEnd> {
  const { request, ports, relay } = state;
  const { call, metadata, route } = request;
  const attempt = new AbortController();
  const abort = () => attempt.abort(NO_LONGER_NEEDED);
  request.signal.addEventListener('abort', abort, { once: true });
  const mayRepeat = isRepeatable(route) && state.sent + 1 < route.maxAttempts;
  void watchAttempt(state, attempt, mayRepeat);
  const stream = { hasBegun: false };
  const lastAt = route.kind === 'streaming' ? request.streamEndAt : request.endAt;
  const running = backend.startCall(promptTokens);
  state.running = running;
  const result = await backend.connections.send({
    method: call.method,
    path: call.target,
    rawHeaders: ports.protocol.buildForwardHeaders(call, {
      remainingMs: Math.max(1, Math.floor(lastAt - ports.clock.now())),
      serverId: backend.server.serverId,
      workspaceId: request.workspaceId,
      rank: route.kind === 'streaming' ? request.rank : undefined,
      inputs: request.inputs,
      resumeAfter: relay.lastEventId(),
    }),
    ...(call.body.length > 0 ? { rawBody: call.body } : {}),
    signal: attempt.signal,
    onStart(start) {
      stream.hasBegun = beginStream(state, start);
      return stream.hasBegun;
    },
    onData: (chunk) => relay.push(chunk),
  });
  running.end();
  attempt.abort(NO_LONGER_NEEDED);
  request.signal.removeEventListener('abort', abort);
  const end = readAttempt(result, metadata.requestId, ports.protocol);
  if (end.kind !== 'success' || !stream.hasBegun || relay.finish()) return end;
  return { kind: 'broken', reason: 'connection-lost', detail: 'the stream ended inside an event' };
}

function recordAttempt(state: ForwardState, backend: Backend, end: AttemptEnd): void {
  const { request, ports } = state;
  const { serverId } = backend.server;
  if ('metadata' in end && end.metadata.load !== undefined) backend.recordLoad(end.metadata.load);
  if (end.kind === 'success') backend.recordSuccess();
  else if (end.kind === 'refused' && end.metadata.isMisdirected) ports.onMisdirected(serverId);
  else if (end.kind === 'failure-answer') backend.recordErrorAnswer();
  // The caller's leaving says nothing of the server.
  else if (end.kind !== 'refused' && !request.signal.aborted) backend.recordFailure();
  if (end.kind === 'success') return;
  ports.logger.warn('a try at a backend server failed', {
    requestId: request.metadata.requestId,
    backendServer: serverId,
    pool: request.poolId,
    outcome: end.kind,
    execution: findExecution(end),
    detail: 'detail' in end ? end.detail : `status ${end.answer.status}`,
    tries: state.sent,
    events: state.relay.countEvents(),
  });
}

/** Whether another server may be tried after one failed. */
function mayTryAgain(state: ForwardState, end: AttemptEnd): boolean {
  const { request, ports } = state;
  const { clock } = ports;
  if (request.signal.aborted || clock.now() >= request.endAt) return false;
  if (end.kind === 'not-sent') {
    state.connectFailures += 1;
    return state.connectFailures < MAX_CONNECT_FAILURES;
  }
  const isFinal = end.kind === 'failure-answer' && !end.isServerError;
  const isSafe = end.kind === 'refused' || isRepeatable(request.route);
  if (isFinal || !isSafe || state.sent >= request.route.maxAttempts) return false;
  return ports.budget.tryWithdraw();
}

/** Has inputs made once more; a second loss is taken for a failure. */
async function renewInputs(state: ForwardState): Promise<boolean> {
  if (state.hasRenewed || !state.ports.budget.tryWithdraw()) return false;
  state.hasRenewed = true;
  const renewed = await state.request.renewInputs();
  if (renewed === undefined) return false;
  state.request = { ...state.request, ...renewed };
  return true;
}

function buildFailure(state: ForwardState, end: AttemptEnd | undefined): Failure {
  const { request, ports, execution } = state;
  if (request.signal.aborted) {
    return { reason: 'cancelled', detail: 'the caller left', execution };
  }
  if (ports.clock.now() >= request.endAt && execution !== 'not-run') {
    return { reason: 'deadline-exceeded', detail: 'no answer came in time', execution };
  }
  if (end === undefined) {
    return createRefusal(
      'no-backend-server',
      `no server of ${request.poolId} may take the request`,
    );
  }
  const reasons = { refused: 'server-refused', 'failure-answer': 'server-error' } as const;
  if (end.kind === 'success') throw new Error('a success is no failure');
  const reason = 'reason' in end ? end.reason : reasons[end.kind];
  const detail = 'detail' in end ? end.detail : `the backend server answered ${end.answer.status}`;
  return { reason, detail, execution };
}

/** Answers the caller with the last try's answer if it may be passed on, else with a failure. */
function answerCaller(state: ForwardState, end: AttemptEnd | undefined): ForwardOutcome {
  const { request, ports } = state;
  const { responder } = request;
  const common = { servers: [...state.tried], firstEventAt: state.firstEventAt };
  if (end?.kind === 'success' || end?.kind === 'failure-answer') {
    const { status, headers, body } = end.answer;
    if (!responder.hasStarted()) {
      responder.send({ status, headers: ports.protocol.buildResponseHeaders(headers), body });
      return { ...common, failure: undefined, status };
    }
    // The events of a whole stream were passed on as they came.
    if (end.kind === 'success') return { ...common, failure: undefined, status };
  }
  const failure = buildFailure(state, end);
  if (responder.hasStarted()) {
    responder.abort();
    return { ...common, failure, status: undefined };
  }
  return { ...common, ...sendFailure(failure, request.metadata.requestId, responder, ports) };
}

/**
 * Sends a request to backend servers until one answers it, and passes the answer on. A request that
 * may not be repeated is handed to a second server only after the first proved that it did not run
 * it; a stream that may be resumed goes on behind the last event that was passed on.
 *
 * @param request - the request
 * @param ports - see {@link ForwardPorts}
 * @returns how the caller was answered
 * @public
 */
export async function forwardCall(
  request: ForwardRequest,
  ports: ForwardPorts,
): Promise<ForwardOutcome> {
  const { clock } = ports;
  const relay = createStreamRelay({
    responder: request.responder,
    protocol: ports.protocol,
    resumeAfter: request.metadata.lastEventId,
    onEvent() {
      state.lastEventAt = clock.now();
      if (state.firstEventAt !== undefined) return;
      state.firstEventAt = state.lastEventAt;
      state.running?.recordFirstEvent();
      request.onInputsRead();
    },
  });
  const state: ForwardState = {
    request,
    ports,
    relay,
    tried: new Set(),
    sent: 0,
    connectFailures: 0,
    execution: 'not-run',
    firstEventAt: undefined,
    lastEventAt: 0,
    running: undefined,
    hasRenewed: false,
  };
  ports.budget.recordFirstAttempt();
  let end: AttemptEnd | undefined;
  for (;;) {
    const chosen = ports.choose(state.request, state.tried);
    if (chosen === undefined) return answerCaller(state, end);
    const { backend } = chosen;
    state.tried.add(backend.server.serverId);
    end = await runAttempt(state, chosen);
    if (end.kind !== 'not-sent') state.sent += 1;
    state.execution = mergeExecution(state.execution, findExecution(end));
    recordAttempt(state, backend, end);
    if (end.kind === 'refused' && end.metadata.isInputLost) {
      if (!(await renewInputs(state))) return answerCaller(state, end);
      // Nothing ran, and the same server may take the request with its new inputs.
      state.tried.delete(backend.server.serverId);
      state.sent -= 1;
      continue;
    }
    if (end.kind === 'success' || !mayTryAgain(state, end)) return answerCaller(state, end);
  }
}
