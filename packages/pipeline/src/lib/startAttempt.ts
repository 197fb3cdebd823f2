import {
  createRefusal,
  describeError,
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

/** Wait before another look for a backend server that may be used. */
const NO_SERVER_WAIT_MS = 50;
/** Servers take calls of this priority first. */
const FIRST_PRIORITY = 0;
/**
 * Where a stage is accounted for.
 *
 * @internal
 */
export interface StageAccounts {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** One try of a stage. @internal */
export interface Attempt {
  readonly lease: ServerLease;
  readonly done: Promise<Attempt>;
  result?: AttemptResult;
}

/** The state that the tries of one stage share. @internal */
export interface StageState {
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

/**
 * Gets the class of work by which the times of a stage's calls are estimated.
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

/**
 * Starts a try: waits for a slot and a server, then runs in the background.
 *
 * @param state - what the stage's tries share
 * @returns the try, or why none could be started
 * @internal
 */
export async function startAttempt(state: StageState): Promise<Result<Attempt, Failure>> {
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
