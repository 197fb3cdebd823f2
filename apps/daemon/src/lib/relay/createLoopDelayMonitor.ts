import { createDelayTracker, createStallMonitor, type Clock, type Task } from '@endiveferry/base';
import type { Logger, Metrics } from '@endiveferry/telemetry';

/** Shortest delay that is logged, in milliseconds. */
const MIN_LOGGED_MS = 200;
/** Shortest delay after which remote ends may have closed connections, in milliseconds. */
const MIN_STALL_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Measures how late this process handles events. @internal */
export interface LoopDelayMonitor {
  /** The task that measures. */
  readonly run: Task;
  /** Returns the longest delay of the last two seconds, in milliseconds. */
  readonly findRecentMs: () => number;
}

/** Options of {@link createLoopDelayMonitor}. @internal */
export interface LoopDelayMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'registerGauge'>;
  /** Called after a delay of a second or more, with its duration in milliseconds. */
  readonly onStall: (delayMs: number) => void;
}

/**
 * Creates a monitor of the event loop, which logs long delays and publishes the longest recent one.
 *
 * @param options - see {@link LoopDelayMonitorOptions}
 * @returns the monitor, not yet running
 * @internal
 */
export function createLoopDelayMonitor(options: LoopDelayMonitorOptions): LoopDelayMonitor {
  const { clock, logger, metrics, onStall } = options;
  const delays = createDelayTracker(clock);
  metrics.registerGauge(
    'endiveferry_event_loop_delay_seconds',
    'longest event loop delay of the last two seconds',
    () => [{ labels: {}, value: delays.findRecentMs() / MILLISECONDS_PER_SECOND }],
  );
  return {
    // A minimum of 0 reports every check, not only stalls.
    run: createStallMonitor(clock, 0, (delayMs) => {
      delays.record(delayMs);
      if (delayMs >= MIN_LOGGED_MS)
        logger.warn('event loop delayed', { delayMs: Math.round(delayMs) });
      if (delayMs >= MIN_STALL_MS) onStall(delayMs);
    }),
    findRecentMs: delays.findRecentMs,
  };
}
