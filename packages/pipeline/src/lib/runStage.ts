import {
  createRefusal,
  describeError,
  mergeExecution,
  NO_LONGER_NEEDED,
  waitFor,
  type BackendServerId,
  type Execution,
  type Failure,
} from '@endiveferry/base';
import type { Slot } from '@endiveferry/admission';
import type { ServerLease } from '@endiveferry/routing';
import type { Logger, Metrics, WasteCause } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { AttemptOptions, AttemptResult, RunAttempt, StageRun } from './StageHandler.js';
import { stageHandlers } from './stageHandlers.js';

/** A call this many times slower than the budgeted quantile is tried on another server as well. */
const HEDGE_FACTOR = 2;
const MIN_HEDGE_DELAY_MS = 50;
/** Wait before another look for a backend server that may be used. */
const NO_SERVER_WAIT_MS = 50;
/** Servers take calls of this priority first. */
const FIRST_PRIORITY = 0;
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

/**
 * Where a stage is accounted for.
 *
 * @internal
 */
export interface StageAccounts {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

interface Attempt {
  readonly lease: ServerLease;
  readonly done: Promise<Attempt>;
  result?: AttemptResult;
}

/** The state that the tries of one stage share. */
interface StageState {
  readonly run: StageRun;
  readonly accounts: StageAccounts;
  readonly runAttempt: RunAttempt;
  readonly triedServers: Set<BackendServerId>;
  readonly running: Set<Attempt>;
  /** Aborts when the stage has its result, the deadline is over or the caller goes away. */
  readonly signal: AbortSignal;
  started: number;
  execution: Execution;
  hasHedged: boolean;
  isDone: boolean;
}

function getWorkClass(run: StageRun): string {
  const kind = run.pool.settings().kind;
  return stageHandlers[kind].getWorkClass(run.stage, run.input);
}

function acquireSlot({ run, signal }: StageState): Promise<Result<Slot, Failure>> {
  const { request, pool } = run;
  const estimate = pool.estimator.estimate(getWorkClass(run), run.stage.expectedServiceMs);
  return pool.queue.acquire({
    rankId: request.rankId,
    workspaceId: request.workspaceId,
    costMs: estimate.meanMs,
    latestStartAt: run.latestStartAt,
    signal,
  });
}

async function reserveServer({
  run,
  signal,
  triedServers,
}: StageState): Promise<ServerLease | undefined> {
  const { pool, stage } = run;
  const prefixes = stageHandlers[pool.settings().kind].computePrefixes(run.input);
  const model = stage.model === undefined ? {} : { model: stage.model };
  while (pool.clock.now() <= run.latestStartAt && !signal.aborted) {
    const lease = pool.router.reserve({ prefixes, excluded: triedServers, ...model });
    if (lease !== undefined) return lease;
    await waitFor(pool.clock, NO_SERVER_WAIT_MS, signal);
  }
  return undefined;
}

function reportToServer(lease: ServerLease, result: AttemptResult, serviceMs: number): void {
  if (result.kind === 'done') lease.recordSuccess(serviceMs);
  else if (result.blame === 'server') lease.recordFailure();
  else if (result.blame === 'overload') lease.recordOverload();
  else lease.end();
}

function findWaste(state: StageState, result: AttemptResult): WasteCause | undefined {
  if (state.isDone) return 'hedge';
  if (result.kind === 'done') return undefined;
  return state.run.request.signal.aborted ? 'cancelled' : 'failed';
}

/** An error of this system must not cost a slot, nor hide that the call may have run. */
async function runSafely(state: StageState, options: AttemptOptions): Promise<AttemptResult> {
  try {
    return await state.runAttempt(options);
  } catch (error) {
    const detail = describeError(error);
    const failure = { reason: 'internal', detail, execution: 'may-have-run' } as const;
    return { kind: 'failed', failure, blame: 'none', canRetry: false };
  }
}

/** Runs one try from its slot to its end, and accounts for it. */
async function runLeased(
  state: StageState,
  slot: Slot,
  lease: ServerLease,
): Promise<AttemptResult> {
  const { run, accounts } = state;
  const { request, pool, stageId } = run;
  const startedAt = pool.clock.now();
  const labels = { stage: stageId, attempt: state.started, backendServer: lease.serverId };
  request.recordEvent('attempt-started', { ...labels, waitedMs: slot.waitedMs });
  const priority = slot.isWithinFloor ? FIRST_PRIORITY : request.rank.order;
  const usesOwnConnection = state.started > 1;
  const result = await runSafely(state, {
    lease,
    signal: state.signal,
    priority,
    usesOwnConnection,
  });
  const serviceMs = pool.clock.now() - startedAt;
  reportToServer(lease, result, serviceMs);
  slot.release(serviceMs);
  const waste = findWaste(state, result);
  if (result.kind === 'done') pool.estimator.record(getWorkClass(run), serviceMs);
  accounts.metrics.recordStage({
    pipelineId: request.pipelineId,
    stageId,
    poolId: pool.id,
    rankId: request.rankId,
    workspaceId: request.workspaceId,
    serviceMs,
    tokens: result.kind === 'done' ? result.tokens : 0,
    ...(waste === undefined ? {} : { waste }),
  });
  const outcome = result.kind === 'done' ? 'done' : result.failure.reason;
  request.recordEvent('attempt-ended', {
    ...labels,
    serviceMs,
    outcome,
    ...(result.kind === 'done' ? {} : { execution: result.failure.execution }),
  });
  accounts.logger.debug('a try of a stage ended', {
    requestId: request.requestId,
    stageId,
    backendServer: lease.serverId,
    serviceMs,
    outcome,
  });
  return result;
}

/** Starts a try: waits for a slot and a server, then runs in the background. */
async function startAttempt(state: StageState): Promise<Result<Attempt, Failure>> {
  const { run } = state;
  const slot = await acquireSlot(state);
  if (slot.isErr()) return err(slot.error);
  const lease = await reserveServer(state);
  if (lease === undefined) {
    slot.value.release(0);
    return err(createRefusal('no-backend-server', `no server of ${run.pool.id} may be used`));
  }
  state.started += 1;
  state.triedServers.add(lease.serverId);
  const attempt: Attempt = {
    lease,
    done: runLeased(state, slot.value, lease).then((result) => {
      attempt.result = result;
      return attempt;
    }),
  };
  state.running.add(attempt);
  return ok(attempt);
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
  void slow.lease.checkSilence();
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
    runAttempt: stageHandlers[run.pool.settings().kind].createAttempts(run),
    triedServers: new Set(),
    running: new Set(),
    signal: AbortSignal.any([run.request.signal, end.signal]),
    started: 0,
    execution: 'not-run',
    hasHedged: false,
    isDone: false,
  };
  run.pool.retryBudget.recordFirstTry();
  const result = await runAttempts(state);
  state.isDone = true;
  // Ends what other tries still do, and keeps one that waits for a slot from starting.
  end.abort(NO_LONGER_NEEDED);
  return result;
}
