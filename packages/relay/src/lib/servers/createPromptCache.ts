import type { BackendServerId } from '@endiveferry/base';

import type { PromptPart } from '../ports.js';

/** Parts recorded per engine; exceeds what an engine's memory holds on any known deployment. */
const MAX_PARTS_PER_ENGINE = 400;

/**
 * Estimates which prompt parts each engine has cached, from the prompts that this host sent it.
 *
 * @public
 */
export interface PromptCache {
  recordSent(serverId: BackendServerId, parts: readonly PromptPart[]): void;
  /** Returns the length of the prompt prefix that an engine has presumably cached, in tokens. */
  countCached(serverId: BackendServerId, parts: readonly PromptPart[]): number;
}

/**
 * Creates an empty estimate. The parts sent least recently to an engine are evicted first.
 *
 * @returns the estimate
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
        if (known.size <= MAX_PARTS_PER_ENGINE) break;
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
