import { mergeExecution, NO_LONGER_NEEDED, waitFor, type Failure } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import type { AttemptResult, StageRun } from './StageHandler.js';
import { stageHandlers } from './stageHandlers.js';
import {
  getWorkClass,
  startAttempt,
  type Attempt,
  type StageAccounts,
  type StageState,
} from './startAttempt.js';

/** A call this many times slower than the budgeted quantile is tried on another server as well. */
const HEDGE_FACTOR = 2;
const MIN_HEDGE_DELAY_MS = 50;
/** Tries of one stage, whatever the budget allows. */
const MAX_ATTEMPTS = 5;

/**
 * What a stage produced.
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

/** Streams are watched for stalls instead: a second one would double the cost of generation. */
function canHedge(state: StageState): boolean {
  const { run } = state;
  const isStream = run.pool.settings().kind === 'model-engine';
  return run.stage.isIdempotent && !isStream && !state.hasHedged;
}

/** Waits until a try ends; undefined when one more should be started meanwhile. */
async function waitForAttempt(state: StageState): Promise<Attempt | undefined> {
  const ends = [...state.running].map((attempt) => attempt.done);
  if (!canHedge(state)) return Promise.race(ends);
  const timer = new AbortController();
  const slow = waitFor(state.run.pool.clock, computeHedgeDelay(state.run), timer.signal);
  const first = await Promise.race([...ends, slow.then(() => undefined)]);
  timer.abort(NO_LONGER_NEEDED);
  return first;
}

function createFailure(state: StageState, failure: Failure): Failure {
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

/** Starts a second try beside a slow one, unless the budget or the queue has no room for it. */
async function startHedge(state: StageState): Promise<void> {
  const [slow] = state.running;
  if (slow === undefined) return;
  state.hasHedged = true;
  void slow.lease.checkLiveness();
  if (state.started >= MAX_ATTEMPTS || !state.run.pool.retryBudget.tryWithdraw()) {
    await slow.done;
    return;
  }
  state.run.request.recordEvent('hedge', { stage: state.run.stageId });
  await Promise.race([slow.done, startAttempt(state)]);
}

/** Waits for the first good result; hedges and retries on the way. */
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
    if (!canRetry(state, result)) return err(createFailure(state, result.failure));
    const retry = await startAttempt(state);
    if (retry.isErr()) return err(createFailure(state, retry.error));
  }
}

/**
 * Runs one stage of one request to its end: waits for a slot, chooses a server, and tries again or
 * hedges where the stage may be repeated and the retry budget allows. Exactly one result is taken;
 * what other tries bring is thrown away.
 *
 * @param run - the stage and its request
 * @param accounts - where cost is accounted and tries are logged
 * @returns the stage's output, or why there is none
 * @public
 */
export async function runStage(
  run: StageRun,
  accounts: StageAccounts,
): Promise<Result<StageOutput, Failure>> {
  const end = new AbortController();
  const state: StageState = {
    run,
    accounts,
    runAttempt: stageHandlers[run.pool.settings().kind].createAttemptRunner(run),
    triedServers: new Set(),
    running: new Set(),
    signal: AbortSignal.any([run.request.signal, end.signal]),
    started: 0,
    execution: 'not-run',
    hasHedged: false,
    isDone: false,
  };
  run.pool.retryBudget.recordFirstAttempt();
  const result = await runAttempts(state);
  state.isDone = true;
  // Ends what other tries still do, and keeps one that waits for a slot from starting.
  end.abort(NO_LONGER_NEEDED);
  return result;
}
