import { computeHash, type BackendServerId } from '@endiveferry/base';

import type { LoadReport } from './LoadReport.js';

/** Length of one block of a prompt; engines cache entire blocks. */
const BLOCK_CHARACTERS = 256;
/** Maximum number of blocks of a prompt that are indexed. */
const MAX_BLOCKS = 16;
/** Maximum number of prefixes per backend server; the oldest are evicted first. */
const MAX_PREFIXES = 4_096;

/**
 * Computes the hashes of a prompt's prefixes, one per block; each hash covers all blocks up to it.
 *
 * @param prompt - the prompt
 * @returns the hashes, shortest prefix first; empty if the prompt is shorter than a block
 * @public
 */
export function computePrefixes(prompt: string): readonly string[] {
  const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS));
  const prefixes: string[] = [];
  let seed = 0;
  for (let block = 0; block < blocks; block += 1) {
    seed = computeHash(
      prompt.slice(block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS),
      seed,
    );
    prefixes.push(seed.toString(16));
  }
  return prefixes;
}

/**
 * Index of the prefixes that each backend server has presumably cached.
 *
 * @public
 */
export interface PrefixIndex {
  /** Applies reported events; a gap in their sequence first clears the server's prefixes. */
  applyEvents(serverId: BackendServerId, cache: NonNullable<LoadReport['cache']>): void;
  /** Adds the prefixes of a prompt that was sent to a server, before the server reports them. */
  recordSent(serverId: BackendServerId, prefixes: readonly string[]): void;
  /** Computes the share of a prompt's blocks that a server holds, from 0 to 1. */
  computeHitRatio(serverId: BackendServerId, prefixes: readonly string[]): number;
  /** Finds the shortest prefix that fewer than half of the servers hold; undefined without one. */
  findPartitionKey(
    serverIds: readonly BackendServerId[],
    prefixes: readonly string[],
  ): string | undefined;
  /** Finds the servers that hold the longest part of a prompt. */
  findHolders(prefixes: readonly string[]): readonly BackendServerId[];
  removeServer(serverId: BackendServerId): void;
}

/**
 * Creates an empty index. Its contents are hints: a wrong one costs no more than a cache miss.
 *
 * @returns the index
 * @public
 */
export function createPrefixIndex(): PrefixIndex {
  const servers = new Map<BackendServerId, { prefixes: Set<string>; nextSequence: number }>();

  function getOrCreateServer(serverId: BackendServerId) {
    const server = servers.get(serverId) ?? { prefixes: new Set<string>(), nextSequence: 0 };
    servers.set(serverId, server);
    return server;
  }

  function addPrefix(prefixes: Set<string>, prefix: string): void {
    prefixes.delete(prefix);
    prefixes.add(prefix);
    const [oldest] = prefixes;
    if (prefixes.size > MAX_PREFIXES && oldest !== undefined) prefixes.delete(oldest);
  }

  function countHits(serverId: BackendServerId, prefixes: readonly string[]): number {
    const known = servers.get(serverId)?.prefixes;
    if (known === undefined) return 0;
    const firstMiss = prefixes.findIndex((prefix) => !known.has(prefix));
    return firstMiss === -1 ? prefixes.length : firstMiss;
  }

  return {
    applyEvents(serverId, { firstSequence, events }) {
      const server = getOrCreateServer(serverId);
      if (firstSequence > server.nextSequence) server.prefixes.clear();
      const appliedCount = Math.max(0, server.nextSequence - firstSequence);
      for (const { prefix, isCached } of events.slice(appliedCount)) {
        if (isCached) addPrefix(server.prefixes, prefix);
        else server.prefixes.delete(prefix);
      }
      server.nextSequence = Math.max(server.nextSequence, firstSequence + events.length);
    },
    recordSent(serverId, prefixes) {
      const server = getOrCreateServer(serverId);
      for (const prefix of prefixes) addPrefix(server.prefixes, prefix);
    },
    computeHitRatio: (serverId, prefixes) =>
      prefixes.length === 0 ? 0 : countHits(serverId, prefixes) / prefixes.length,
    findPartitionKey: (serverIds, prefixes) =>
      prefixes.find((prefix) => {
        const holders = serverIds.filter((id) => servers.get(id)?.prefixes.has(prefix) === true);
        return holders.length * 2 < serverIds.length;
      }),
    findHolders(prefixes) {
      const hits = [...servers.keys()].map((id) => ({ id, count: countHits(id, prefixes) }));
      const best = Math.max(0, ...hits.map(({ count }) => count));
      return best === 0 ? [] : hits.filter(({ count }) => count === best).map(({ id }) => id);
    },
    removeServer: (serverId) => servers.delete(serverId),
  };
}
