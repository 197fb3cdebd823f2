import { computeHash, type Random } from '@endiveferry/base';
import type { PlacementOrder } from '@endiveferry/orders';
import { computePrefixes } from '@endiveferry/routing';

import { sendJson, type Faults, type StandInCall, type StandInKind } from './startStandInServer.js';

/** Prefill time for each prompt block that is not cached, in milliseconds. */
const PREFILL_MS_PER_BLOCK = 8;
/** Fixed part of the prefill time, in milliseconds. */
const PREFILL_BASE_MS = 10;
/** Default time between two tokens, in milliseconds. */
export const DEFAULT_TOKEN_INTERVAL_MS = 8;
/** Maximum number of prompt prefixes in an engine's cache. */
const MAX_CACHED_PREFIXES = 64;
/** Maximum number of stored cache events; older ones are dropped, which readers see as a gap. */
const MAX_CACHE_EVENTS = 200;
/** Delay until a cache event appears in load reports, in milliseconds. */
const CACHE_EVENT_LAG_MS = 300;

/**
 * Computes the token at an offset of a response. It depends only on the prompt and the offset, so
 * that any engine can resume a response.
 */
export function computeToken(prompt: string, index: number): string {
  return `${index === 0 ? '' : ' '}w${computeHash(prompt, index) % 10_000}`;
}

/**
 * Counters of the prompt caches of stand-in engines.
 *
 * @public
 */
export interface CacheCounts {
  lookups: number;
  /** Prompt blocks over all lookups. */
  blocks: number;
  /** Prompt blocks that were found in the cache. */
  hitBlocks: number;
}

/** Creates the LRU prompt cache of an engine, whose events are reported late or dropped. */
function createPromptCache(counts: CacheCounts) {
  const cached = new Set<string>();
  const events: { prefix: string; isCached: boolean; at: number; sequence: number }[] = [];
  let nextSequence = 0;

  function addEvent(prefix: string, isCached: boolean): void {
    events.push({ prefix, isCached, at: performance.now(), sequence: nextSequence });
    nextSequence += 1;
    if (events.length > MAX_CACHE_EVENTS) events.shift();
  }

  function touch(prefix: string): void {
    if (!cached.delete(prefix)) addEvent(prefix, true);
    cached.add(prefix);
    const [oldest] = cached;
    if (cached.size <= MAX_CACHED_PREFIXES || oldest === undefined) return;
    cached.delete(oldest);
    addEvent(oldest, false);
  }

  return {
    /** Adds a prompt to the cache and returns the number of its blocks that were missing. */
    load(prompt: string): number {
      const prefixes = computePrefixes(prompt);
      const firstMiss = prefixes.findIndex((prefix) => !cached.has(prefix));
      const hits = firstMiss === -1 ? prefixes.length : firstMiss;
      counts.lookups += 1;
      counts.blocks += prefixes.length;
      counts.hitBlocks += hits;
      for (const prefix of prefixes) touch(prefix);
      return prefixes.length - hits;
    },
    report() {
      const cutoff = performance.now() - CACHE_EVENT_LAG_MS;
      const visible = events.filter((event) => event.at <= cutoff);
      const firstSequence = visible[0]?.sequence ?? events[0]?.sequence ?? nextSequence;
      return {
        firstSequence,
        events: visible.map(({ prefix, isCached }) => ({ prefix, isCached })),
      };
    },
  };
}

/** Time to load models, in milliseconds. */
const MODEL_LOAD_MS = 500;

/**
 * Creates the set of models that one engine has loaded. Unless `ignoresFencing` is set, it rejects
 * an order whose fencing number is lower than that of the last applied order.
 */
function createModelSet(models: readonly string[], ignoresFencing: boolean) {
  let loaded = [...models];
  let lastFencingNumber = 0;
  return {
    listLoaded: (): readonly string[] => loaded,
    /** Applies an order; returns false when it is rejected. */
    apply({ fencingNumber, models: wanted }: PlacementOrder): boolean {
      if (fencingNumber < lastFencingNumber && !ignoresFencing) return false;
      lastFencingNumber = fencingNumber;
      const ids = wanted.map(({ id }) => id);
      loaded = loaded.filter((id) => ids.some((other) => other === id));
      setTimeout(() => (loaded = [...ids]), MODEL_LOAD_MS).unref();
      return true;
    },
  };
}

/** Maximum number of generations that an engine can export; the oldest are evicted. */
const MAX_STORED_GENERATIONS = 256;

/** Creates the store of an engine's recent generations, which another engine can import. */
function createGenerationStore() {
  const byRequest = new Map<string, { request_id: string; prompt: string; max_tokens: number }>();
  return {
    add({ requestId, prompt, maxTokens }: CompletionBody): void {
      byRequest.set(requestId, { request_id: requestId, prompt, max_tokens: maxTokens });
      const [oldest] = byRequest.keys();
      if (byRequest.size > MAX_STORED_GENERATIONS && oldest !== undefined) byRequest.delete(oldest);
    },
    find: (requestId: string) => byRequest.get(requestId),
  };
}

interface CompletionBody {
  readonly requestId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly startOffset: number;
}

function parseBody(call: StandInCall): CompletionBody {
  const resume = call.body.resume as { offset?: number } | undefined;
  return {
    requestId: String(call.body.request_id),
    prompt: String(call.body.prompt),
    maxTokens: Number(call.body.max_tokens ?? 16),
    startOffset: resume?.offset ?? 0,
  };
}

function sendChunk(call: StandInCall, body: CompletionBody, offset: number): void {
  const isLast = offset === body.maxTokens - 1;
  const text = computeToken(body.prompt, offset);
  const chunk = {
    id: body.requestId,
    object: 'text_completion',
    offset,
    choices: [{ index: 0, text, finish_reason: isLast ? 'length' : null }],
  };
  call.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

/**
 * Creates the stand-in of a model engine. It streams completions by priority, resumes them at an
 * offset, caches prompt prefixes and reports the cached prefixes with a delay.
 *
 * @param _random - unused; service times of engines are fixed
 * @param counts - counters of cache lookups, which the engine increments
 * @param models - models that are loaded at the start
 * @param tokenIntervalMs - time between two tokens, in milliseconds
 * @param ignoresFencing - whether the engine accepts orders with old fencing numbers
 * @returns the behaviour of the stand-in
 * @internal
 */
export function createEngineKind(
  _random: Random,
  counts: CacheCounts,
  models: readonly string[],
  tokenIntervalMs: number,
  ignoresFencing: boolean,
): StandInKind {
  const cache = createPromptCache(counts);
  const modelSet = createModelSet(models, ignoresFencing);
  const generations = createGenerationStore();
  const cancelled = new Set<string>();

  async function generate(
    call: StandInCall,
    body: CompletionBody,
    wait: (ms: number) => Promise<void>,
    faults: Faults,
  ): Promise<void> {
    generations.add(body);
    const missingBlocks = cache.load(body.prompt);
    await wait(PREFILL_BASE_MS + missingBlocks * PREFILL_MS_PER_BLOCK);
    call.response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (let offset = body.startOffset; offset < body.maxTokens; offset += 1) {
      if (call.signal.aborted || cancelled.delete(body.requestId)) return;
      if (offset - body.startOffset === faults.disconnectNextStreamAfterTokens) {
        faults.disconnectNextStreamAfterTokens = undefined;
        call.response.socket?.destroy();
        return;
      }
      sendChunk(call, body, offset);
      await wait(tokenIntervalMs);
    }
    call.response.end('data: [DONE]\n\n');
  }

  return {
    getCallId: (call) => parseBody(call).requestId,
    getPriority: (call) => Number(call.body.priority ?? 9),
    execute: (call, wait, faults) => generate(call, parseBody(call), wait, faults),
    report: () => ({ models: modelSet.listLoaded() as never, cache: cache.report() }),
    handleControl(call) {
      if (call.path === '/v1/orders') {
        sendJson(
          call.response,
          modelSet.apply(call.body as unknown as PlacementOrder) ? 202 : 409,
          {},
        );
        return true;
      }
      if (call.path === '/v1/kv/export') {
        const exported = generations.find(parseBody(call).requestId);
        sendJson(call.response, exported === undefined ? 404 : 200, exported ?? {});
        return true;
      }
      if (call.path === '/v1/kv/import') {
        generations.add(parseBody(call));
        cache.load(parseBody(call).prompt);
        sendJson(call.response, 202, {});
        return true;
      }
      if (call.path !== '/v1/cancel') return false;
      cancelled.add(parseBody(call).requestId);
      sendJson(call.response, 202, {});
      return true;
    },
  };
}
