import type { Clock } from '@endiveferry/base';
import { computePrefixes } from '@endiveferry/routing';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';

import {
  createInvalidResponseFailure,
  classifyCallFailure,
  type AttemptResult,
  type StageHandler,
  type AttemptContext,
  type AttemptOptions,
} from './StageHandler.js';

/** Time without data after which the connection of a stream, or its server, is presumed lost. */
const STALL_TIMEOUT_MS = 1_000;
const STALL_CHECK_INTERVAL_MS = 250;

/** Schema of one event of a completion stream. */
const chunkSchema = z.object({
  id: z.string(),
  /** Index of the chunk's token in the complete generation; a chunk holds at most one token. */
  offset: z.int().min(0),
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullable() })).length(1),
});

/** Output received so far, over all attempts of the stage. */
interface GenerationProgress {
  text: string;
  nextOffset: number;
  isFinished: boolean;
}

/** Result of reading a chunk; `gap`: earlier chunks are missing, `foreign`: of another request. */
type ChunkStatus = 'taken' | 'duplicate' | 'gap' | 'foreign' | 'malformed';

function parseChunk(data: string): z.infer<typeof chunkSchema> | undefined {
  try {
    return chunkSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}

function buildBody(run: AttemptContext, progress: GenerationProgress, priority: number) {
  const { stage, input, request } = run;
  return {
    ...input,
    request_id: `${request.requestId}.${run.stageId}`,
    model: stage.model,
    adapter: stage.adapter,
    max_tokens: stage.maxTokens,
    stream: true,
    priority,
    ...(progress.nextOffset === 0
      ? {}
      : { resume: { offset: progress.nextOffset, text: progress.text } }),
  };
}

/** Accepts each chunk once and in order, whichever attempt received it. */
function createChunkReader(run: AttemptContext, progress: GenerationProgress) {
  const { request, stageId } = run;
  const expectedId = `${request.requestId}.${stageId}`;
  return (data: string): ChunkStatus => {
    if (data === '[DONE]') return 'taken';
    const chunk = parseChunk(data);
    const choice = chunk?.choices[0];
    if (chunk === undefined || choice === undefined) return 'malformed';
    if (chunk.id !== expectedId) return 'foreign';
    if (chunk.offset < progress.nextOffset || progress.isFinished) return 'duplicate';
    if (chunk.offset > progress.nextOffset) return 'gap';
    if (choice.finish_reason !== null) progress.isFinished = true;
    if (choice.text === '') return 'taken';
    progress.nextOffset += 1;
    progress.text += choice.text;
    request.onProgress?.({ type: 'token', stageId, text: choice.text });
    return 'taken';
  };
}

/**
 * Starts a liveness check over a new connection when a stream stalls, and aborts the attempt if
 * another one could follow: a stream may also go on after a pause.
 */
function startStallMonitor(
  clock: Clock,
  { lease, mayReplace }: AttemptOptions,
  abort: AbortController,
) {
  let lastDataAt = clock.now();
  let checkedAt = -Infinity;
  let cancelTimer: (() => void) | undefined;
  let hasStalled = false;
  const check = () => {
    if (clock.now() - lastDataAt >= STALL_TIMEOUT_MS) {
      if (checkedAt < lastDataAt) void lease.checkLiveness();
      checkedAt = clock.now();
      if (mayReplace()) {
        hasStalled = true;
        abort.abort();
        return;
      }
    }
    cancelTimer = clock.schedule(STALL_CHECK_INTERVAL_MS, check);
  };
  cancelTimer = clock.schedule(STALL_CHECK_INTERVAL_MS, check);
  return {
    recordData() {
      lastDataAt = clock.now();
    },
    hasStalled: () => hasStalled,
    stop: () => cancelTimer?.(),
  };
}

async function runGeneration(
  run: AttemptContext,
  progress: GenerationProgress,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const { lease, signal, priority, usesNewConnection } = options;
  const startOffset = progress.nextOffset;
  const abort = new AbortController();
  const stall = startStallMonitor(run.pool.clock, options, abort);
  const readChunk = createChunkReader(run, progress);
  let chunkError: ChunkStatus | undefined;
  const parser = createParser({
    onEvent({ data }) {
      const status = readChunk(data);
      if (status === 'taken' || status === 'duplicate') return;
      chunkError = status;
      abort.abort();
    },
  });
  const startedAt = run.pool.clock.now();
  let hasData = false;
  const decoder = new TextDecoder();
  const result = await lease.send({
    method: 'POST',
    path: '/v1/completions',
    headers: { accept: 'text/event-stream' },
    body: buildBody(run, progress, priority),
    usesNewConnection,
    signal: AbortSignal.any([signal, abort.signal]),
    onData(chunk) {
      stall.recordData();
      if (!hasData) lease.recordFirstToken(run.pool.clock.now() - startedAt);
      hasData = true;
      parser.feed(decoder.decode(chunk, { stream: true }));
    },
  });
  stall.stop();
  if (progress.isFinished) {
    const tokens = progress.nextOffset - startOffset;
    return { kind: 'done', output: { text: progress.text }, tokens };
  }
  if (chunkError !== undefined)
    return createInvalidResponseFailure(`invalid stream chunk: ${chunkError}`);
  if (stall.hasStalled()) return createStallFailure();
  if (result.kind === 'answered' && result.status === 200) {
    return createInvalidResponseFailure('the stream ended before the generation was complete');
  }
  return classifyCallFailure(result, run.pool.settings().refusalStatuses);
}

function createStallFailure(): AttemptResult {
  return {
    kind: 'failed',
    failure: {
      reason: 'connection-lost',
      detail: `no data received for ${STALL_TIMEOUT_MS} ms`,
      execution: 'may-have-run',
    },
    attributedTo: 'none',
    canRetry: true,
  };
}

/** Returns the binary logarithm, rounded up: classes double in size, so a few cover all lengths. */
function computeLengthClass(length: number): number {
  return Math.ceil(Math.log2(Math.max(1, length)));
}

/**
 * Creates the handler of model engines. An interrupted stream is resumed after its last token: the
 * engine that generated it continues the generation, another engine continues from the text so far.
 *
 * @returns the handler
 * @internal
 */
export function createGenerationHandler(): StageHandler {
  const getPrompt = (input: Readonly<Record<string, unknown>>) =>
    typeof input.prompt === 'string' ? input.prompt : '';
  return {
    getWorkClass: (stage) => `${stage.model ?? ''}/${computeLengthClass(stage.maxTokens ?? 1)}`,
    computePrefixes: (input) => computePrefixes(getPrompt(input)),
    createAttemptRunner(run) {
      const progress: GenerationProgress = { text: '', nextOffset: 0, isFinished: false };
      return (options) => runGeneration(run, progress, options);
    },
  };
}
