import assert from 'node:assert/strict';

import {
  backendServerIdSchema,
  createFakeClock,
  hostIdSchema,
  pipelineIdSchema,
  poolIdSchema,
  rankIdSchema,
  requestIdSchema,
  stageIdSchema,
  workspaceIdSchema,
} from '@endiveferry/base';
import {
  createRetryBudget,
  createServiceEstimator,
  createStageQueue,
} from '@endiveferry/admission';
import {
  createCrashTracker,
  type Call,
  type CallResult,
  type ServerLease,
} from '@endiveferry/routing';
import type { Pool, PoolKind, Stage } from '@endiveferry/settings';
import { createLogger, createMetrics } from '@endiveferry/telemetry';

import type { PoolRuntime } from './createPoolSet.js';
import { runStage } from './runStage.js';
import type { StageRun } from './StageHandler.js';

const TOKENS = 6;
const DEADLINE_MS = 2_000;
/** Time from a call to the crash of the server, in milliseconds. */
const CRASH_MS = 150;
const tokenAt = (offset: number) => ` w${offset}`;
/** Text of a complete stream. @internal */
export const fullText = Array.from({ length: TOKENS }, (_value, index) => tokenAt(index)).join('');

/** Duration of a pause in a stream, in milliseconds: longer than a stall. */
const PAUSE_MS = 1_500;

/**
 * How a backend server handles the next call. `cut` loses the connection, `late` responds after
 * 500 ms, `pause` stops a stream after two tokens for 1.5 s, `crash` loses the connection before a response, `asks-first` checks `maySend` after an
 * event loop stall that outlasts the deadline.
 */
type BackendBehaviour =
  | 'answer'
  | 'refuse'
  | 'unreachable'
  | 'fail'
  | 'cut'
  | 'answer-to-another'
  | 'nonsense'
  | 'late'
  | 'pause'
  | 'crash'
  | 'asks-first';

/** Behaviours from which random scripts are generated. @internal */
export const backendBehaviours: readonly BackendBehaviour[] = [
  'answer',
  'refuse',
  'unreachable',
  'fail',
  'cut',
  'answer-to-another',
  'nonsense',
  'late',
];

const ok = (body: unknown, headers = {}): CallResult => ({
  kind: 'answered',
  status: 200,
  headers,
  body: Buffer.from(JSON.stringify(body)),
});
const status = (code: number): CallResult => ({
  kind: 'answered',
  status: code,
  headers: {},
  body: Buffer.alloc(0),
});
const connectionLost: CallResult = { kind: 'unknown', reason: 'connection-lost', detail: 'cut' };

/** Creates a fake backend that follows a script and counts the calls it receives and starts. */
function createBackend(script: readonly BackendBehaviour[], clock = createFakeClock()) {
  const counts = { started: 0, sent: 0 };
  const wait = (durationMs: number, signal: AbortSignal | undefined) =>
    new Promise<void>((resolve) => {
      clock.schedule(durationMs, resolve);
      signal?.addEventListener('abort', () => resolve());
    });
  let next = 0;

  function sendTokens(call: Call, from: number, to: number, id: string): void {
    for (let offset = from; offset < to; offset += 1) {
      const chunk = {
        id,
        offset,
        choices: [
          { text: tokenAt(offset), finish_reason: offset === TOKENS - 1 ? 'length' : null },
        ],
      };
      call.onData?.(Buffer.from(`data: ${JSON.stringify(chunk)}\n\n`));
    }
  }

  function runUnary(behaviour: BackendBehaviour, call: Call): CallResult {
    const id = call.headers?.['x-request-id'];
    const results: Partial<Record<BackendBehaviour, CallResult>> = {
      fail: status(500),
      cut: connectionLost,
      'answer-to-another': ok({ requestId: 'no' }, { 'x-request-id': 'another.stage' }),
      nonsense: { ...ok(''), kind: 'answered', status: 200, headers: {}, body: Buffer.from('{') },
    };
    return results[behaviour] ?? ok({ requestId: id }, { 'x-request-id': id });
  }

  /** Resumed streams repeat the last token, as a late duplicate would. */
  function runStream(behaviour: BackendBehaviour, call: Call): CallResult {
    const body = call.body as { request_id: string; resume?: { offset: number; text: string } };
    const from = body.resume?.offset ?? 0;
    assert.equal(body.resume?.text ?? '', fullText.slice(0, (body.resume?.text ?? '').length));
    const results: Partial<Record<BackendBehaviour, () => CallResult>> = {
      fail: () => status(500),
      cut() {
        sendTokens(call, from, Math.min(TOKENS, from + 2), body.request_id);
        return connectionLost;
      },
      'answer-to-another'() {
        sendTokens(call, from, TOKENS, 'another.stage');
        return connectionLost;
      },
      nonsense() {
        sendTokens(call, from + 1, TOKENS, body.request_id);
        return connectionLost;
      },
    };
    const run = results[behaviour];
    if (run !== undefined) return run();
    sendTokens(call, Math.max(0, from - 1), TOKENS, body.request_id);
    return status(200);
  }

  async function send(call: Call): Promise<CallResult> {
    const behaviour = script[next] ?? 'answer';
    next += 1;
    if (behaviour === 'unreachable') {
      return { kind: 'not-sent', reason: 'connect-failed', detail: 'down' };
    }
    if (behaviour === 'asks-first') {
      // Simulates an event loop stall between the start of the call and its write.
      clock.jump(DEADLINE_MS + 1);
      if (call.maySend?.() === false) {
        return { kind: 'not-sent', reason: 'key-unproven', detail: 'may no longer be sent' };
      }
    }
    counts.sent += 1;
    if (behaviour === 'refuse') return status(429);
    counts.started += 1;
    if (behaviour === 'crash') {
      await new Promise<void>((resolve) => clock.schedule(CRASH_MS, resolve));
      return connectionLost;
    }
    if (behaviour === 'late') {
      await wait(500, call.signal);
      if (call.signal?.aborted === true)
        return { ...connectionLost, reason: 'cancelled' } as CallResult;
    }
    if (behaviour === 'pause') {
      sendTokens(call, 0, 2, (call.body as { request_id: string }).request_id);
      await wait(PAUSE_MS, call.signal);
      if (call.signal?.aborted === true)
        return { ...connectionLost, reason: 'cancelled' } as CallResult;
    }
    return call.onData === undefined ? runUnary(behaviour, call) : runStream(behaviour, call);
  }
  return { counts, send };
}

interface HarnessOptions {
  readonly kind: PoolKind;
  readonly isIdempotent?: boolean;
  readonly script: readonly BackendBehaviour[];
  readonly retryShare?: number;
  readonly prompt?: string;
  /** Whether there is another server; `true` by default. */
  readonly hasOtherServer?: boolean;
}

/** Creates one stage of one request with a fake backend that follows a script. @internal */
export function createStageHarness(options: HarnessOptions) {
  const clock = createFakeClock();
  const backend = createBackend(options.script, clock);
  let leases = 0;
  let ended = 0;
  const ignore = () => undefined;
  const logger = createLogger(hostIdSchema.parse('host-1'), 'error');
  const reserve = (): ServerLease => {
    leases += 1;
    const end = () => {
      ended += 1;
    };
    return {
      serverId: backendServerIdSchema.parse(`server-${leases}`),
      send: (call) => backend.send(call),
      recordSuccess: end,
      recordFailure: end,
      recordOverload: end,
      end,
      checkLiveness: () => Promise.resolve(),
      recordFirstToken: ignore,
    };
  };
  const rankId = rankIdSchema.parse('urgent');
  const rank = { order: 0, deadlineMs: DEADLINE_MS, floorShare: 0, worth: 1 };
  const settings: Pool = {
    kind: options.kind,
    serverConcurrency: 4,
    refusalStatuses: [429],
    backendServers: {},
  };
  const retryBudget = createRetryBudget(() => options.retryShare ?? 0.1);
  const pool: PoolRuntime = {
    id: poolIdSchema.parse('pool'),
    clock,
    queue: createStageQueue({
      clock,
      listRanks: () => [{ id: rankId, ...rank }],
      getWeight: () => 1,
      getMaxWaiting: () => 100,
      getBudget: () => 4,
    }),
    router: {
      reserve,
      hasServer: () => options.hasOtherServer ?? true,
    } as unknown as PoolRuntime['router'],
    estimator: createServiceEstimator(clock),
    retryBudget,
    crashes: createCrashTracker({ clock, logger, onChange: ignore }),
    settings: () => settings,
    getBudget: () => 4,
  };
  const stage: Stage = {
    order: 1,
    pool: pool.id,
    path: '/do',
    isIdempotent: options.isIdempotent ?? true,
    expectedServiceMs: 20,
    maxTokens: TOKENS,
    input: {},
  };
  const receivedTokens: string[] = [];
  const deadline = new AbortController();
  clock.schedule(DEADLINE_MS, () => deadline.abort());
  const run: StageRun = {
    request: {
      requestId: requestIdSchema.parse('r1'),
      pipelineId: pipelineIdSchema.parse('pipeline'),
      pipeline: { rank: rankId, stages: {} },
      rankId,
      rank,
      workspaceId: workspaceIdSchema.parse('mill'),
      arrivedAt: 0,
      deadlineAt: DEADLINE_MS,
      body: {},
      signal: deadline.signal,
      recordEvent: ignore,
      onProgress: (event) => {
        if (event.type === 'token') receivedTokens.push(event.text);
      },
    },
    stageId: stageIdSchema.parse('stage'),
    stage,
    pool,
    input: { prompt: options.prompt ?? 'plan' },
    latestStartAt: DEADLINE_MS,
  };
  const telemetry = { metrics: createMetrics(), logger };
  return {
    counts: backend.counts,
    receivedTokens,
    retryBudget,
    pool,
    countOpenLeases: () => leases - ended,
    async run() {
      const result = runStage(run, telemetry);
      await clock.advance(DEADLINE_MS * 2);
      return result;
    },
  };
}
