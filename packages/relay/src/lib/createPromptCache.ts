import type { BackendServerId } from '@endiveferry/base';

import type { PromptPart } from './ports.js';

/** Parts remembered for each engine; more than its memory holds on any known deployment. */
const MAX_PARTS = 400;

/**
 * What this host believes engines to have read of prompts, by what it sent them.
 *
 * @public
 */
export interface PromptCache {
  recordSent(serverId: BackendServerId, parts: readonly PromptPart[]): void;
  /** Tokens at the front of a prompt that an engine has read, as far as this host knows. */
  countCached(serverId: BackendServerId, parts: readonly PromptPart[]): number;
}

/**
 * Creates an empty cache of beliefs; of each engine the parts sent last are kept.
 *
 * @returns the cache
 * @public
 */
export function createPromptCache(): PromptCache {
  const byServer = new Map<BackendServerId, Set<string>>();
  return {
    recordSent(serverId, parts) {
      const known = byServer.get(serverId) ?? new Set();
      byServer.set(serverId, known);
      for (const { partId } of parts) {
        known.delete(partId);
        known.add(partId);
      }
      for (const partId of known) {
        if (known.size <= MAX_PARTS) break;
        known.delete(partId);
      }
    },
    countCached(serverId, parts) {
      const known = byServer.get(serverId);
      if (known === undefined) return 0;
      let tokens = 0;
      for (const part of parts) {
        if (!known.has(part.partId)) break;
        tokens += part.tokens;
      }
      return tokens;
    },
  };
}
