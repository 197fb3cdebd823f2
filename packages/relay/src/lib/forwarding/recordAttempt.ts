import { MIN_CRASH_RUN_MS } from '@endiveferry/routing';

import { getExecution, isWithheld, type AttemptOutcome } from './classifyAttempt.js';
import type { Backend } from '../servers/createBackends.js';
import type { BreakProgress } from '../createRelayMetrics.js';
import { countAttemptEvents, type ForwardState } from './ForwardState.js';
import { recordAnswer } from './recordAnswer.js';

/** Number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8;

/** Returns how far a response got that its server broke off; undefined for any other outcome. */
function findBreakProgress(
  state: ForwardState,
  outcome: AttemptOutcome,
): BreakProgress | undefined {
  const isBroken = outcome.kind === 'broken' && outcome.reason === 'connection-lost';
  if (!isBroken) return undefined;
  if (countAttemptEvents(state) > 0) return 'events';
  return state.attempt.hasHead ? 'no-event' : 'no-head';
}

/** Returns whether the server may have crashed as it began its response. */
function isLikelyCrash({ attempt, options }: ForwardState, progress: BreakProgress): boolean {
  const sentAt = attempt.sentAt ?? Infinity;
  const hasRun = progress === 'no-event' || options.clock.now() - sentAt >= MIN_CRASH_RUN_MS;
  return progress !== 'events' && hasRun;
}

/** Returns for how long the attempt has run at its server, in milliseconds. */
function computeRunMs({ attempt, options }: ForwardState): number | undefined {
  return attempt.sentAt === undefined
    ? undefined
    : Math.round(options.clock.now() - attempt.sentAt);
}

/** Returns the time since its last event, or since it was sent, in milliseconds. */
function computeSilentMs(state: ForwardState): number | undefined {
  const since = countAttemptEvents(state) > 0 ? state.lastActiveAt : state.attempt.sentAt;
  return since === undefined ? undefined : Math.round(state.options.clock.now() - since);
}

/**
 * Records the outcome of an attempt in the state of its server, the metrics and the log.
 *
 * @param state - the request, after the attempt
 * @param backend - the server
 * @param outcome - the outcome of the attempt
 * @internal
 */
export function recordAttempt(
  state: ForwardState,
  backend: Backend,
  outcome: AttemptOutcome,
): void {
  const { request, options } = state;
  const { serverId } = backend.server;
  options.signals.recordResult(backend.server, outcome);
  const { sentAt } = state.attempt;
  if (outcome.kind === 'success') {
    backend.recordSuccess();
    if (request.route.kind !== 'streaming' && sentAt !== undefined) backend.recordDuration(sentAt);
  } else if (outcome.kind === 'refused' && outcome.metadata.isMisdirected)
    options.onServerReplaced(serverId);
  else if (outcome.kind === 'refused') {
    if (!outcome.metadata.isInputLost && sentAt !== undefined) backend.recordRejection(sentAt);
  } else if (outcome.kind === 'failure-answer') backend.recordErrorResponse();
  // A disconnect of the caller is not a failure of the server.
  else if (!isWithheld(outcome) && !request.connection.signal.aborted)
    backend.recordFailure(sentAt);
  const isStream = request.route.kind === 'streaming';
  const isAnswer = outcome.kind === 'success' || outcome.kind === 'failure-answer';
  // A stream proves it with its first event.
  if (isAnswer && !isStream) recordAnswer(request.suspectIds, options.crashes);
  if (outcome.kind === 'success') return;
  const progress = findBreakProgress(state, outcome);
  if (progress !== undefined && isStream)
    options.metrics.recordBrokenStream(request.poolId, progress);
  const ranMs = computeRunMs(state);
  const suspects =
    progress !== undefined && isLikelyCrash(state, progress) ? request.suspectIds.listAll() : [];
  if (suspects.length > 0) options.crashes.recordCrash(serverId, suspects, ranMs);
  options.logger.warn('attempt at a backend server failed', {
    requestId: request.metadata.requestId,
    backendServer: serverId,
    softwareVersion: backend.server.softwareVersion,
    lastEventId: state.relay.lastEventId(),
    pool: request.poolId,
    workspace: request.workspaceId,
    outcome: outcome.kind,
    execution: getExecution(outcome),
    abortCause: state.attempt.abortCause,
    silentMs: computeSilentMs(state),
    detail: 'detail' in outcome ? outcome.detail : `status ${outcome.response.status}`,
    connectMs: state.connectMs === undefined ? undefined : Math.round(state.connectMs),
    tries: state.sentAttempts,
    ranMs,
    events: state.relay.countEvents(),
    hasHead: state.attempt.hasHead,
    // Without its id, a response may belong to an earlier request on the same connection.
    hasResponseId: 'metadata' in outcome ? outcome.metadata.requestId !== undefined : undefined,
    attemptEvents: countAttemptEvents(state),
    // The id of the request, which its repeats share, if it may have crashed the server.
    request: suspects[0],
    parts: request.metadata.promptParts.slice(0, MAX_LOGGED_PARTS).map(({ partId }) => partId),
  });
}
