import type { ListenerLimitsSet } from '../createListenerLimits.js';
import { createMetricsListener, type MetricsListenerOptions } from './createMetricsListener.js';
import { createReadinessListener } from './createReadinessListener.js';

/** Listeners for health checks and metrics. @internal */
export interface CheckListeners {
  /** Starts listening; resolves to the bound addresses. */
  listen(readiness: string, metrics: string): Promise<{ readiness: string; metrics: string }>;
  /** Closes all connections at once, and stops listening. */
  close(): Promise<void>;
}

/**
 * Creates the listeners, not yet listening.
 *
 * @param isReady - returns whether this host accepts new connections
 * @param operators - what the listener for operators serves
 * @param limits - limits of their connections
 * @returns the listeners
 * @internal
 */
export function createCheckListeners(
  isReady: () => boolean,
  operators: Omit<MetricsListenerOptions, 'bodies' | 'limits'>,
  limits: Pick<ListenerLimitsSet, 'createShort' | 'bodies'>,
): CheckListeners {
  const readinessListener = createReadinessListener(isReady, limits.createShort('readiness'));
  const metricsListener = createMetricsListener({
    ...operators,
    bodies: limits.bodies,
    limits: limits.createShort('metrics'),
  });
  return {
    listen: async (readiness, metricsAddress) => ({
      readiness: await readinessListener.listen(readiness),
      metrics: await metricsListener.listen(metricsAddress),
    }),
    async close() {
      readinessListener.destroy();
      metricsListener.destroy();
      await Promise.all([readinessListener.close(), metricsListener.close()]);
    },
  };
}
