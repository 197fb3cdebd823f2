import type { ServerResponse } from 'node:http';

import type { Clock, MemoryBudget, MemoryHolder } from '@endiveferry/base';

import { computeBodyWeight } from './checkBodyProgress.js';

/** Counts the memory of complete responses that callers have not read. @internal */
export interface UnreadResponses {
  /** Counts a response that has ended until it is written; `abort` breaks it off. */
  hold(response: ServerResponse, abort: () => void): void;
}

/**
 * Creates the count of a process.
 *
 * @param clock - clock for the age of responses
 * @param budget - memory that the responses share with the bodies of requests
 * @returns see {@link UnreadResponses}
 * @internal
 */
export function createUnreadResponses(clock: Clock, budget: MemoryBudget): UnreadResponses {
  return {
    hold(response, abort) {
      const bytes = response.writableLength;
      if (!response.writableEnded || response.destroyed || bytes === 0) return;
      const endedAt = clock.now();
      const holder: MemoryHolder = {
        abort,
        weigh: (held) => computeBodyWeight(held, clock.now() - endedAt),
      };
      response.once('close', () => budget.release(holder));
      budget.set(holder, bytes);
    },
  };
}
