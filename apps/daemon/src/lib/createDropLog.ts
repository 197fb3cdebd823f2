import type { Clock } from '@endiveferry/base';
import type { Logger, Metrics } from '@endiveferry/telemetry';

import type { ConnectionDrop, ConnectionLimits } from './createConnectionGuard.js';

/** Interval of log lines about closed connections, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Listener whose connections are limited. @internal */
export type ListenerName = 'callers' | 'operators' | 'readiness' | 'metrics';

/** Options of {@link createDropLog}. @internal */
export interface DropLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'registerCounter'>;
}

/**
 * Creates the log of connections that are closed because of a limit. There may be thousands per
 * second, so one line covers all of an interval.
 *
 * @param options - see {@link DropLogOptions}
 * @returns a function that returns the callback of a listener
 * @internal
 */
export function createDropLog({
  clock,
  logger,
  metrics,
}: DropLogOptions): (listener: ListenerName) => ConnectionLimits['onDrop'] {
  const recordDrop = metrics.registerCounter(
    'endiveferry_dropped_connections_total',
    'connections that were closed because of a limit, by listener and reason',
    ['listener', 'reason'],
  );
  return (listener) => {
    const counts = new Map<ConnectionDrop, number>();
    return (reason) => {
      recordDrop({ listener, reason });
      const count = counts.get(reason) ?? 0;
      counts.set(reason, count + 1);
      if (count > 0) return;
      clock.schedule(LOG_INTERVAL_MS, () => {
        logger.warn('connections were closed because of a limit', {
          listener,
          reason,
          connections: counts.get(reason) ?? 0,
        });
        counts.delete(reason);
      });
    };
  };
}
