import { mergeExecution, NO_LONGER_NEEDED, waitFor, type Failure } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { AttemptResult, StageRun } from './StageHandler.js';
import { stageHandlers } from './stageHandlers.js';
import {
  getWorkClass,
  MAX_ATTEMPTS,
  startAttempt,
  type Attempt,
  type StageTelemetry,
  type StageState,
} from './startAttempt.js';

/** Multiple of the budgeted service time quantile after which a call is hedged. */
const HEDGE_FACTOR = 2;
const MIN_HEDGE_DELAY_MS = 50;

/**
 * Output of a completed stage.
 *
 * @public
 */
export interface StageOutput {
  readonly output: unknown;
  readonly tokens: number;
}

function computeHedgeDelay(run: StageRun): number {
  const estimate = run.pool.estimator.estimate(getWorkClass(run), run.stage.expectedServiceMs);
  return Math.max(MIN_HEDGE_DELAY_MS, HEDGE_FACTOR * estimate.budgetMs);
}

/** Streams are monitored for stalls instead: a hedge would double the cost of generation. */
function canHedge(state: StageState): boolean {
  const { run } = state;
  const isStream = run.pool.settings().kind === 'model-engine';
  return run.stage.isIdempotent && !isStream && !state.hasHedged;
}

/** Waits until an attempt ends; returns undefined when a hedge is due first. */
async function waitForAttempt(state: StageState): Promise<Attempt | undefined> {
  const completions = [...state.running].map((attempt) => attempt.done);
  if (!canHedge(state)) return Promise.race(completions);
  const timer = new AbortController();
  const hedgeDelay = waitFor(state.run.pool.clock, computeHedgeDelay(state.run), timer.signal);
  const first = await Promise.race([...completions, hedgeDelay.then(() => undefined)]);
  timer.abort(NO_LONGER_NEEDED);
  return first;
}

/** Creates the failure of the stage, given that of its last attempt. */
function createStageFailure(state: StageState, failure: Failure): Failure {
  return { ...failure, execution: mergeExecution(state.execution, failure.execution) };
}

function canRetry(state: StageState, result: Extract<AttemptResult, { kind: 'failed' }>): boolean {
  const { run } = state;
  const isSafe = run.stage.isIdempotent || result.failure.execution === 'not-run';
  return (
    isSafe &&
    result.canRetry &&
    !state.signal.aborted &&
    state.started < MAX_ATTEMPTS &&
    run.pool.retryBudget.tryWithdraw()
  );
}

/** Starts a second attempt beside a slow one, if the retry budget and the queue allow it. */
async function startHedge(state: StageState): Promise<void> {
  const [slowAttempt] = state.running;
  if (slowAttempt === undefined) return;
  state.hasHedged = true;
  void slowAttempt.lease.checkLiveness();
  if (state.started >= MAX_ATTEMPTS || !state.run.pool.retryBudget.tryWithdraw()) {
    await slowAttempt.done;
    return;
  }
  state.run.request.recordEvent('hedge', { stage: state.run.stageId });
  await Promise.race([slowAttempt.done, startAttempt(state)]);
}

/** Runs attempts, with hedges and retries, until one succeeds or no more are allowed. */
async function runAttempts(state: StageState): Promise<Result<StageOutput, Failure>> {
  const first = await startAttempt(state);
  if (first.isErr()) return err(first.error);
  for (;;) {
    const ended = await waitForAttempt(state);
    if (ended === undefined) {
      await startHedge(state);
      continue;
    }
    state.running.delete(ended);
    const { result } = ended;
    if (result === undefined) throw new Error('an attempt ended without a result');
    if (result.kind === 'done') return ok(result);
    state.execution = mergeExecution(state.execution, result.failure.execution);
    if (state.running.size > 0) continue;
    if (!canRetry(state, result)) return err(createStageFailure(state, result.failure));
    const retry = await startAttempt(state);
    if (retry.isErr()) return err(createStageFailure(state, retry.error));
  }
}

/**
 * Runs one stage of a request: waits for a slot, chooses a server, and retries or hedges where the
 * stage may be repeated and the retry budget allows it. Exactly one result is used; the results of
 * other attempts are discarded.
 *
 * @param run - the stage and its request
 * @param telemetry - metrics that record cost, and the logger of attempts
 * @returns the stage's output, or the failure
 * @public
 */
export async function runStage(
  run: StageRun,
  telemetry: StageTelemetry,
): Promise<Result<StageOutput, Failure>> {
  const stageEnd = new AbortController();
  const state: StageState = {
    run,
    telemetry,
    runAttempt: stageHandlers[run.pool.settings().kind].createAttemptRunner(run),
    attemptedServers: new Set(),
    running: new Set(),
    signal: AbortSignal.any([run.request.signal, stageEnd.signal]),
    started: 0,
    execution: 'not-run',
    hasHedged: false,
    isDone: false,
  };
  run.pool.retryBudget.recordFirstAttempt();
  const result = await runAttempts(state);
  state.isDone = true;
  // Cancels other running attempts, and any that still wait for a slot.
  stageEnd.abort(NO_LONGER_NEEDED);
  return result;
}
