import { mergeExecution } from '@endiveferry/base';

import type {
  ChosenBackend,
  ForwardOutcome,
  ForwardOptions,
  ForwardRequest,
} from './ForwardRequest.js';
import { checkSuspects } from './checkSuspects.js';
import { createStreamRelay } from './createStreamRelay.js';
import { countAttemptEvents, type ForwardState, type RetryRefusal } from './ForwardState.js';
import { getExecution, type AttemptOutcome } from './classifyAttempt.js';
import { recordAnswer } from './recordAnswer.js';
import { recordAttempt } from './recordAttempt.js';
import { freeInputs, renewInputs } from './renewInputs.js';
import { reserveRetry } from './reserveRetry.js';
import { runAttempt } from './runAttempt.js';
import { sendResponse } from './sendResponse.js';

/** Records which software version began the stream, so that no other one continues it. */
function recordOrigin(state: ForwardState): void {
  const { request, options, server } = state;
  if (server === undefined) return;
  const { poolId, softwareVersion } = server;
  state.request = { ...request, origin: { poolId, softwareVersion } };
  const { requestId } = request.metadata;
  if (!request.route.isResumable) return;
  options.origins.recordBegin(
    { requestId, poolId, softwareVersion },
    request.route.pools.length > 1,
  );
}

/** Returns the server that was reserved before the last attempt was aborted, if there is one. */
function takeReplacement(state: ForwardState): ChosenBackend | undefined {
  const { replacement } = state;
  state.replacement = undefined;
  return replacement;
}

/**
 * Chooses the server of the next attempt. When no other one takes a stream that was given up for the
 * silence of its server, it returns there once, because that server may only have paused.
 */
function chooseNext(state: ForwardState): ChosenBackend | undefined {
  const { options, request, attemptedIds, silentIds } = state;
  const chosen = options.choose(request, attemptedIds);
  if (chosen !== undefined || silentIds.size === 0) return chosen;
  for (const serverId of silentIds) attemptedIds.delete(serverId);
  silentIds.clear();
  return options.choose(request, attemptedIds);
}

/**
 * Forwards a request to backend servers until one responds, and sends the response to the caller.
 * A request that is not repeatable goes to a second server only after the first proved that it did
 * not run it; a resumable stream resumes after the last event that was forwarded.
 *
 * @param request - the request
 * @param options - see {@link ForwardOptions}
 * @returns the outcome
 * @public
 */
export async function forwardToBackend(
  request: ForwardRequest,
  options: ForwardOptions,
): Promise<ForwardOutcome> {
  const { clock } = options;
  const refuse = (refusal: RetryRefusal) => {
    state.retryRefusal = refusal;
    return sendResponse(state, outcome);
  };
  const relay = createStreamRelay({
    responder: request.responder,
    protocol: options.protocol,
    resumeAfter: request.metadata.lastEventId,
    onEvent() {
      state.lastActiveAt = clock.now();
      state.cancelRenewal?.();
      if (countAttemptEvents(state) === 1) recordAnswer(request.suspectIds, options.crashes);
      freeInputs(state);
      if (state.request.origin === undefined) recordOrigin(state);
      if (state.firstEventAt !== undefined) return;
      state.firstEventAt = state.lastActiveAt;
      state.running?.recordFirstEvent();
    },
    onResume: () => (state.lastActiveAt = clock.now()),
  });
  const state: ForwardState = {
    request,
    options,
    relay,
    attemptedIds: new Set(),
    sentAttempts: 0,
    connectFailures: 0,
    execution: 'not-run',
    firstEventAt: undefined,
    sentAt: undefined,
    connectMs: undefined,
    attempt: {
      hasHead: false,
      sentAt: undefined,
      eventsBefore: 0,
      abortCause: undefined,
      notReplaced: undefined,
    },
    lastActiveAt: 0,
    running: undefined,
    server: undefined,
    hasFreedInputs: false,
    inputRenewals: 0,
    cancelRenewal: undefined,
    replacement: undefined,
    silentIds: new Set(),
    retryRefusal: undefined,
  };
  options.budget.recordFirstAttempt();
  let outcome: AttemptOutcome | undefined;
  for (;;) {
    const isConnected = await request.connection.confirm();
    if (!isConnected) return refuse('caller-left');
    if (options.stopDeadline.hasPassed()) return refuse('stop');
    const crashFailure = checkSuspects(request.suspectIds, options.crashes);
    if (crashFailure !== undefined) {
      const { reason, detail } = crashFailure;
      outcome = { kind: 'not-sent', reason, detail };
      return refuse('crashes');
    }
    const { signal } = request.connection;
    if (state.hasFreedInputs && !(await renewInputs(state, signal))) return refuse('inputs');
    const chosen = takeReplacement(state) ?? chooseNext(state);
    if (chosen === undefined) return refuse('no-server');
    const { backend } = chosen;
    state.attemptedIds.add(backend.server.serverId);
    outcome = await runAttempt(state, chosen);
    const { abortCause } = state.attempt;
    if (abortCause === 'silence') state.silentIds.add(backend.server.serverId);
    // A stream that has begun may be rejected by any number of servers before one continues it.
    const isRejected = outcome.kind === 'refused' && relay.countEvents() > 0;
    if (outcome.kind !== 'not-sent' && !isRejected) state.sentAttempts += 1;
    state.execution = mergeExecution(state.execution, getExecution(outcome));
    recordAttempt(state, backend, outcome);
    if (outcome.kind === 'refused' && outcome.metadata.isInputLost) {
      if (!(await renewInputs(state, signal))) return refuse('inputs');
      // The request did not run, so the same server may be chosen again with the renewed inputs.
      state.attemptedIds.delete(backend.server.serverId);
      if (!isRejected) state.sentAttempts -= 1;
      continue;
    }
    if (outcome.kind === 'success') return sendResponse(state, outcome);
    if (state.replacement !== undefined && outcome.kind === 'broken') continue;
    state.replacement = undefined;
    const refusal = reserveRetry(state, outcome);
    if (refusal !== undefined) return refuse(refusal);
  }
}
