import { createMemoryBudget, type Clock } from '@endiveferry/base';
import type { Logger, Metrics } from '@endiveferry/telemetry';

import { BLOCK_BYTES } from './createBlockPool.js';
import { createBodyReader, type BodyReader } from './createBodyReader.js';
import type { ConnectionLimits } from './createConnectionGuard.js';
import { createDropLog, type ListenerName } from './createDropLog.js';
import { createReadPacer } from './createReadPacer.js';
import { createUnreadResponses, type UnreadResponses } from './createUnreadResponses.js';
import { DEFAULT_PROCESS_LIMITS, planConnections, type ProcessLimits } from './planConnections.js';

/** Requests without a complete response that a caller may have on one connection. */
const MAX_PIPELINED = 32;
/** The same for health checks and metrics, whose clients wait for each response. */
const MAX_PIPELINED_CHECKS = 2;

/** What the listeners of a process share. @internal */
export interface ListenerLimitsSet {
  readonly bodies: BodyReader;
  readonly unread: UnreadResponses;
  readonly callers: ConnectionLimits;
  /** Returns the limits of a listener for health checks, metrics or operators. */
  readonly createShort: (listener: ListenerName) => ConnectionLimits;
}

/** Options of {@link createListenerLimits}. @internal */
export interface ListenerLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'registerGauge' | 'registerCounter'>;
  /** By default {@link DEFAULT_PROCESS_LIMITS}. */
  readonly process?: ProcessLimits;
}

/**
 * Creates the limits of a process and its reader of bodies.
 *
 * @param options - see {@link ListenerLimitsOptions}
 * @returns see {@link ListenerLimitsSet}
 * @internal
 */
export function createListenerLimits(options: ListenerLimitsOptions): ListenerLimitsSet {
  const { clock, metrics } = options;
  const plan = planConnections(options.process ?? DEFAULT_PROCESS_LIMITS);
  const budget = createMemoryBudget(plan.bodyBytes);
  const createDropCallback = createDropLog(options);
  const pacer = createReadPacer(clock);
  const bodies = createBodyReader({
    clock,
    metrics,
    budget,
    maxFreeBlocks: Math.floor(plan.bodyBytes / BLOCK_BYTES),
    pacer,
  });
  return {
    bodies,
    unread: createUnreadResponses(clock, budget),
    callers: {
      pacer,
      rejectStopped: bodies.rejectStopped,
      maxConnections: plan.callers,
      maxPipelined: MAX_PIPELINED,
      onDrop: createDropCallback('callers'),
    },
    createShort: (listener) => ({
      // Health checks don't wait for callers.
      pacer: { ...pacer, add: () => undefined },
      maxConnections: plan.operators,
      maxPipelined: MAX_PIPELINED_CHECKS,
      onDrop: createDropCallback(listener),
    }),
  };
}
