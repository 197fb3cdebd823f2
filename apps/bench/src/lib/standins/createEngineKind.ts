import { computeHash, type Random } from '@endiveferry/base';
import type { PlacementOrder } from '@endiveferry/orders';
import { computePrefixes } from '@endiveferry/routing';

import { sendJson, type Faults, type StandInCall, type StandInKind } from './startStandInServer.js';

/** Reading a prompt takes this long for each block that is not cached, in milliseconds. */
const PREFILL_MS_PER_BLOCK = 8;
const PREFILL_BASE_MS = 10;
/** Time between two tokens, unless a run asks for another, in milliseconds. */
export const DEFAULT_TOKEN_INTERVAL_MS = 8;
/** Prompt prefixes that an engine's memory holds. */
const CACHE_SIZE = 64;
/** Events kept for readers; older ones are lost, which readers see as a gap. */
const MAX_EVENTS = 200;
const EVENT_LAG_MS = 300;

/** The words of an answer depend on the prompt alone, so that any engine can go on with it. */
export function findToken(prompt: string, index: number): string {
  return `${index === 0 ? '' : ' '}w${computeHash(prompt, index) % 10_000}`;
}

/**
 * What a stand-in engine counts of its prompt cache.
 *
 * @public
 */
export interface CacheCounts {
  lookups: number;
  /** Blocks asked for, and those of them that were cached. */
  blocks: number;
  hitBlocks: number;
}

/** The prompt cache of one engine, with events that come late and get lost. */
function createPromptCache(counts: CacheCounts) {
  const cached = new Set<string>();
  const events: { prefix: string; isCached: boolean; at: number; sequence: number }[] = [];
  let nextSequence = 0;

  function addEvent(prefix: string, isCached: boolean): void {
    events.push({ prefix, isCached, at: performance.now(), sequence: nextSequence });
    nextSequence += 1;
    if (events.length > MAX_EVENTS) events.shift();
  }

  function touch(prefix: string): void {
    if (!cached.delete(prefix)) addEvent(prefix, true);
    cached.add(prefix);
    const [oldest] = cached;
    if (cached.size <= CACHE_SIZE || oldest === undefined) return;
    cached.delete(oldest);
    addEvent(oldest, false);
  }

  return {
    /** Looks a prompt up and keeps it; the result is how many of its blocks were missing. */
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
      const cutoff = performance.now() - EVENT_LAG_MS;
      const visible = events.filter((event) => event.at <= cutoff);
      const firstSequence = visible[0]?.sequence ?? events[0]?.sequence ?? nextSequence;
      return {
        firstSequence,
        events: visible.map(({ prefix, isCached }) => ({ prefix, isCached })),
      };
    },
  };
}

/** Loading a model takes this long. */
const LOAD_MS = 500;

/** The models of one engine. Some engines refuse an order that carries an old fencing number. */
function createOrderBook(models: readonly string[], ignoresFencing: boolean) {
  let loaded = [...models];
  let highest = 0;
  return {
    listLoaded: (): readonly string[] => loaded,
    take({ fencingNumber, models: wanted }: PlacementOrder): boolean {
      if (fencingNumber < highest && !ignoresFencing) return false;
      highest = fencingNumber;
      const ids = wanted.map(({ id }) => id);
      loaded = loaded.filter((id) => ids.some((other) => other === id));
      setTimeout(() => (loaded = [...ids]), LOAD_MS).unref();
      return true;
    },
  };
}

/** Generations whose state an engine can hand to another one; the oldest are forgotten. */
const MAX_KEPT_GENERATIONS = 256;

/** What an engine knows of the generations it works on, in place of real attention state. */
function createGenerationMemory() {
  const kept = new Map<string, { request_id: string; prompt: string; max_tokens: number }>();
  return {
    keep({ requestId, prompt, maxTokens }: CompletionBody): void {
      kept.set(requestId, { request_id: requestId, prompt, max_tokens: maxTokens });
      const [oldest] = kept.keys();
      if (kept.size > MAX_KEPT_GENERATIONS && oldest !== undefined) kept.delete(oldest);
    },
    find: (requestId: string) => kept.get(requestId),
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
  const text = findToken(body.prompt, offset);
  const chunk = {
    id: body.requestId,
    object: 'text_completion',
    offset,
    choices: [{ index: 0, text, finish_reason: isLast ? 'length' : null }],
  };
  call.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

/**
 * Creates the stand-in of a model engine: streams completions by priority, resumes at an offset,
 * caches prompt prefixes and reports them late.
 *
 * @param _random - unused; engines draw nothing
 * @param counts - where cache hits are counted
 * @param models - the models that it has loaded
 * @param tokenIntervalMs - time between two tokens, in milliseconds
 * @param ignoresFencing - whether it takes orders with old fencing numbers
 * @returns the kind
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
  const orders = createOrderBook(models, ignoresFencing);
  const memory = createGenerationMemory();
  const cancelled = new Set<string>();

  async function generate(
    call: StandInCall,
    body: CompletionBody,
    wait: (ms: number) => Promise<void>,
    faults: Faults,
  ): Promise<void> {
    memory.keep(body);
    const missingBlocks = cache.load(body.prompt);
    await wait(PREFILL_BASE_MS + missingBlocks * PREFILL_MS_PER_BLOCK);
    call.response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (let offset = body.startOffset; offset < body.maxTokens; offset += 1) {
      if (call.signal.aborted || cancelled.delete(body.requestId)) return;
      if (offset - body.startOffset === faults.cutNextStreamAfterTokens) {
        faults.cutNextStreamAfterTokens = undefined;
        call.response.socket?.destroy();
        return;
      }
      sendChunk(call, body, offset);
      await wait(tokenIntervalMs);
    }
    call.response.end('data: [DONE]\n\n');
  }

  return {
    findCallId: (call) => parseBody(call).requestId,
    findPriority: (call) => Number(call.body.priority ?? 9),
    work: (call, wait, faults) => generate(call, parseBody(call), wait, faults),
    report: () => ({ models: orders.listLoaded() as never, cache: cache.report() }),
    handleControl(call) {
      if (call.path === '/v1/orders') {
        sendJson(
          call.response,
          orders.take(call.body as unknown as PlacementOrder) ? 202 : 409,
          {},
        );
        return true;
      }
      if (call.path === '/v1/kv/export') {
        const exported = memory.find(parseBody(call).requestId);
        sendJson(call.response, exported === undefined ? 404 : 200, exported ?? {});
        return true;
      }
      if (call.path === '/v1/kv/import') {
        memory.keep(parseBody(call));
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
