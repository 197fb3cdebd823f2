import { NO_LONGER_NEEDED } from '@endiveferry/base';

import type { ForwardState } from './ForwardState.js';

/** Number of times that the stages of one request may run again after its results were freed. */
const MAX_RENEWALS = 2;

/**
 * Runs the stages of a request again, because its results are lost or freed. They end early when the
 * stream goes on meanwhile.
 *
 * @param state - the request
 * @param signal - ends the stages early
 * @returns whether the request has new inputs
 * @internal
 */
export async function renewInputs(state: ForwardState, signal: AbortSignal): Promise<boolean> {
  if (signal.aborted || state.inputRenewals >= MAX_RENEWALS) return false;
  if (!state.options.budget.tryWithdraw()) return false;
  state.inputRenewals += 1;
  const renewal = new AbortController();
  const cancel = () => renewal.abort(NO_LONGER_NEEDED);
  signal.addEventListener('abort', cancel, { once: true });
  state.cancelRenewal = cancel;
  const renewed = await state.request.renewInputs(renewal.signal);
  if (state.cancelRenewal === cancel) state.cancelRenewal = undefined;
  signal.removeEventListener('abort', cancel);
  if (renewed === undefined) return false;
  state.request = { ...state.request, ...renewed };
  state.hasFreedInputs = false;
  return true;
}

/**
 * Frees the inputs of a request whose server has read them; does nothing if they are freed.
 *
 * @param state - the request
 * @internal
 */
export function freeInputs(state: ForwardState): void {
  const { inputs = [], onInputsRead } = state.request;
  if (state.hasFreedInputs || inputs.length === 0) return;
  onInputsRead();
  state.hasFreedInputs = true;
}
