import {
  createNotRunFailure,
  describeError,
  waitFor,
  type BackendServerId,
  type Execution,
  type Failure,
} from '@endiveferry/base';
import type { Slot } from '@endiveferry/admission';
import { MIN_CRASH_RUN_MS, type ServerLease } from '@endiveferry/routing';
import type { Logger, Metrics, WasteCause } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import type { AttemptOptions, AttemptResult, RunAttempt, StageRun } from './StageHandler.js';
import { stageHandlers } from './stageHandlers.js';

/**
 * Maximum number of attempts of one stage, regardless of the retry budget.
 *
 * @internal
 */
export const MAX_ATTEMPTS = 5;
/** Interval at which the pool is polled for a usable backend server. */
const SERVER_POLL_INTERVAL_MS = 50;
/** Servers process calls of this priority first. */
const HIGHEST_PRIORITY = 0;

/**
 * Metrics and logger that record the attempts of a stage.
 *
 * @internal
 */
export interface StageTelemetry {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** One running or finished attempt of a stage. @internal */
export interface Attempt {
  readonly lease: ServerLease;
  readonly done: Promise<Attempt>;
  result?: AttemptResult;
}

/** State that the attempts of one stage share. @internal */
export interface StageState {
  readonly run: StageRun;
  readonly telemetry: StageTelemetry;
  readonly runAttempt: RunAttempt;
  readonly attemptedServers: Set<BackendServerId>;
  readonly running: Set<Attempt>;
  /** Aborts when the stage has its result, the deadline passes or the caller disconnects. */
  readonly signal: AbortSignal;
  started: number;
  execution: Execution;
  hasHedged: boolean;
  isDone: boolean;
}

/**
 * Returns the class of work under which the service times of a stage are estimated.
 *
 * @param run - the stage and its request
 * @returns the class
 * @internal
 */
export function getWorkClass(run: StageRun): string {
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

async function reserveServer(
  { run, signal, attemptedServers }: StageState,
  prefixes: readonly string[],
): Promise<ServerLease | undefined> {
  const { pool, stage } = run;
  const model = stage.model === undefined ? {} : { model: stage.model };
  while (pool.clock.now() <= run.latestStartAt && !signal.aborted) {
    const lease = pool.router.reserve({ prefixes, excluded: attemptedServers, ...model });
    if (lease !== undefined) return lease;
    await waitFor(pool.clock, SERVER_POLL_INTERVAL_MS, signal);
  }
  return undefined;
}

function recordServerResult(lease: ServerLease, result: AttemptResult, serviceMs: number): void {
  if (result.kind === 'done') lease.recordSuccess(serviceMs);
  else if (result.attributedTo === 'server') lease.recordFailure();
  else if (result.attributedTo === 'overload') lease.recordOverload();
  else lease.end();
}

function getWasteCause(state: StageState, result: AttemptResult): WasteCause | undefined {
  if (state.isDone) return 'hedge';
  if (result.kind === 'done') return undefined;
  return state.run.request.signal.aborted ? 'cancelled' : 'failed';
}

/** Converts exceptions to failures: the slot must be released, and the call may have run. */
async function runSafely(state: StageState, options: AttemptOptions): Promise<AttemptResult> {
  try {
    return await state.runAttempt(options);
  } catch (error) {
    const detail = describeError(error);
    const failure = { reason: 'internal', detail, execution: 'may-have-run' } as const;
    return { kind: 'failed', failure, attributedTo: 'none', canRetry: false };
  }
}

/** Returns whether another attempt could follow the one that runs. */
function mayReplace(
  { run, signal, attemptedServers, started }: StageState,
  prefixes: readonly string[],
): boolean {
  const { pool, stage } = run;
  const model = stage.model === undefined ? {} : { model: stage.model };
  return (
    stage.isIdempotent &&
    !signal.aborted &&
    started < MAX_ATTEMPTS &&
    pool.clock.now() <= run.latestStartAt &&
    pool.retryBudget.mayWithdraw() &&
    pool.router.hasServer({ prefixes, excluded: attemptedServers, ...model })
  );
}

/** Runs one attempt in its slot and on its server, and records its cost and outcome. */
async function runLeasedAttempt(
  state: StageState,
  slot: Slot,
  lease: ServerLease,
  prefixes: readonly string[],
): Promise<AttemptResult> {
  const { run, telemetry } = state;
  const { request, pool, stageId } = run;
  const startedAt = pool.clock.now();
  const labels = { stage: stageId, attempt: state.started, backendServer: lease.serverId };
  request.recordEvent('attempt-started', { ...labels, waitedMs: slot.waitedMs });
  const priority = slot.isWithinFloor ? HIGHEST_PRIORITY : request.rank.order;
  const usesNewConnection = state.started > 1;
  const response = { hasBegun: false };
  const recordFirstToken = (durationMs: number) => {
    response.hasBegun = true;
    pool.crashes.recordAnswer(prefixes);
    lease.recordFirstToken(durationMs);
  };
  const result = await runSafely(state, {
    lease: { ...lease, recordFirstToken },
    signal: state.signal,
    priority,
    usesNewConnection,
    mayReplace: () => mayReplace(state, prefixes),
  });
  const serviceMs = pool.clock.now() - startedAt;
  const isBroken = result.kind === 'failed' && result.failure.reason === 'connection-lost';
  if (isBroken && !response.hasBegun && serviceMs >= MIN_CRASH_RUN_MS)
    pool.crashes.recordCrash(lease.serverId, prefixes, serviceMs);
  recordServerResult(lease, result, serviceMs);
  slot.release(serviceMs);
  const waste = getWasteCause(state, result);
  if (result.kind === 'done') pool.estimator.record(getWorkClass(run), serviceMs);
  telemetry.metrics.recordStage({
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
  telemetry.logger.debug('stage attempt ended', {
    requestId: request.requestId,
    stageId,
    backendServer: lease.serverId,
    serviceMs,
    outcome,
  });
  return result;
}

/**
 * Starts an attempt: waits for a slot and a server, then runs it in the background.
 *
 * @param state - state that the attempts of the stage share
 * @returns the attempt, or the failure when none can be started
 * @internal
 */
export async function startAttempt(state: StageState): Promise<Result<Attempt, Failure>> {
  const { run } = state;
  const prefixes = stageHandlers[run.pool.settings().kind].computePrefixes(run.input);
  const slot = await acquireSlot(state);
  if (slot.isErr()) return err(slot.error);
  const blocked = run.pool.crashes.findBlockedPart(prefixes);
  if (blocked !== undefined) {
    slot.value.release(0);
    return err(
      createNotRunFailure(
        'part-blocked',
        `the beginning of the prompt crashes engines (${blocked.crashes} known crashes)`,
      ),
    );
  }
  const lease = await reserveServer(state, prefixes);
  if (lease === undefined) {
    slot.value.release(0);
    return err(
      createNotRunFailure('no-backend-server', `no usable backend server in pool ${run.pool.id}`),
    );
  }
  state.started += 1;
  state.attemptedServers.add(lease.serverId);
  const attempt: Attempt = {
    lease,
    done: runLeasedAttempt(state, slot.value, lease, prefixes).then((result) => {
      attempt.result = result;
      return attempt;
    }),
  };
  state.running.add(attempt);
  return ok(attempt);
}
