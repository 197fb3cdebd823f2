import type { Clock } from '@endiveferry/base';
import { computePrefixes, type ServerLease } from '@endiveferry/routing';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';

import {
  createBadAnswer,
  translateCallFailure,
  type AttemptResult,
  type StageHandler,
  type AttemptContext,
  type AttemptOptions,
} from './StageHandler.js';

/** A stream that brings nothing for so long has lost its connection or its server. */
const STALL_MS = 1_000;
const STALL_CHECK_MS = 250;

/** Validator of one event of a completion stream. */
const chunkSchema = z.object({
  id: z.string(),
  /** Position of the chunk's first token in the whole answer. */
  offset: z.int().min(0),
  choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullable() })).length(1),
});

/** The part of an answer that arrived so far, over all tries. */
interface GenerationProgress {
  text: string;
  nextOffset: number;
  isFinished: boolean;
}

type ChunkVerdict = 'taken' | 'duplicate' | 'gap' | 'foreign' | 'malformed';

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

/** Takes chunks in order and once each, whichever try they come from. */
function createChunkReader(run: AttemptContext, progress: GenerationProgress) {
  const { request, stageId } = run;
  const expectedId = `${request.requestId}.${stageId}`;
  return (data: string): ChunkVerdict => {
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

/** Aborts a try whose stream has stalled, after the server was asked over a new connection. */
function watchStall(clock: Clock, lease: ServerLease, abort: AbortController) {
  let lastDataAt = clock.now();
  let cancelTimer: (() => void) | undefined;
  let hasStalled = false;
  const check = () => {
    if (clock.now() - lastDataAt >= STALL_MS) {
      hasStalled = true;
      void lease.checkLiveness();
      abort.abort();
      return;
    }
    cancelTimer = clock.schedule(STALL_CHECK_MS, check);
  };
  cancelTimer = clock.schedule(STALL_CHECK_MS, check);
  return {
    noteData() {
      lastDataAt = clock.now();
    },
    hasStalled: () => hasStalled,
    stop: () => cancelTimer?.(),
  };
}

async function runGeneration(
  run: AttemptContext,
  progress: GenerationProgress,
  { lease, signal, priority, usesOwnConnection }: AttemptOptions,
): Promise<AttemptResult> {
  const startOffset = progress.nextOffset;
  const abort = new AbortController();
  const stall = watchStall(run.pool.clock, lease, abort);
  const readChunk = createChunkReader(run, progress);
  let fault: ChunkVerdict | undefined;
  const parser = createParser({
    onEvent({ data }) {
      const verdict = readChunk(data);
      if (verdict === 'taken' || verdict === 'duplicate') return;
      fault = verdict;
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
    usesOwnConnection,
    signal: AbortSignal.any([signal, abort.signal]),
    onData(chunk) {
      stall.noteData();
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
  if (fault !== undefined) return createBadAnswer(`a chunk of the stream is ${fault}`);
  if (stall.hasStalled()) return createStallFailure();
  if (result.kind === 'answered' && result.status === 200) {
    return createBadAnswer('the stream ended before the answer did');
  }
  return translateCallFailure(result, run.pool.settings().refusalStatuses);
}

function createStallFailure(): AttemptResult {
  return {
    kind: 'failed',
    failure: {
      reason: 'connection-lost',
      detail: `nothing arrived for ${STALL_MS} ms`,
      execution: 'may-have-run',
    },
    blame: 'none',
    canRetry: true,
  };
}

/** Classes of length double in size, so that a few of them cover all. */
function computeLengthClass(length: number): number {
  return Math.ceil(Math.log2(Math.max(1, length)));
}

/**
 * Creates the handler of model engines. A stream that breaks off is resumed behind its last token:
 * the engine that made it goes on where it was, another one continues from the text so far.
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
