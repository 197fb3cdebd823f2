import { err, ok, type Result } from 'neverthrow';

import { checkSuspects } from './checkSuspects.js';
import type { ChosenBackend } from './ForwardRequest.js';
import { findAttemptEndAt, type ForwardState, type RetryRefusal } from './ForwardState.js';
import { renewInputs } from './renewInputs.js';

/** Why a running attempt is not replaced; `progress` if it goes on or has ended. @internal */
export type ReplacementRefusal = RetryRefusal | 'progress';

function findRefusal(state: ForwardState): ReplacementRefusal | undefined {
  const { request, options, attemptedIds } = state;
  const { clock, stopDeadline, crashes, budget } = options;
  if (clock.now() >= findAttemptEndAt(state)) return 'deadline';
  if (stopDeadline.hasPassed()) return 'stop';
  if (checkSuspects(request.suspectIds, crashes) !== undefined) return 'crashes';
  if (!options.mayChoose(request, attemptedIds)) return 'no-server';
  return budget.mayWithdraw() ? undefined : 'budget';
}

/**
 * Reserves everything that another attempt needs while the current one still runs: time, the retry
 * budget, a server, and the stage results that the server reads, whose stages run again if they
 * have been freed. Nothing is reserved if the current attempt makes progress meanwhile.
 *
 * @param state - the request, whose current attempt may be repeated
 * @param signal - aborts when the current attempt ends
 * @returns the server of the next attempt, or why there is none
 * @internal
 */
export async function reserveReplacement(
  state: ForwardState,
  signal: AbortSignal,
): Promise<Result<ChosenBackend, ReplacementRefusal>> {
  const refusal = findRefusal(state);
  if (refusal !== undefined) return err(refusal);
  if (state.hasFreedInputs) {
    const activeAt = state.lastActiveAt;
    const isRenewed = await renewInputs(state, signal);
    if (signal.aborted || state.lastActiveAt !== activeAt) return err('progress');
    if (!isRenewed) return err('inputs');
    const laterRefusal = findRefusal(state);
    if (laterRefusal !== undefined) return err(laterRefusal);
  }
  const chosen = state.options.choose(state.request, state.attemptedIds);
  if (chosen === undefined) return err('no-server');
  state.options.budget.tryWithdraw();
  return ok(chosen);
}
