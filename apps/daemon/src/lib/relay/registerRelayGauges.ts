import type { ServerLimits } from '@endiveferry/admission';
import type { CrashTracker } from '@endiveferry/routing';
import type { Metrics } from '@endiveferry/telemetry';

/** State that the gauges publish. @internal */
export interface RelayGaugeSources {
  readonly crashes: Pick<CrashTracker, 'countBlocked'>;
  readonly limits: Pick<ServerLimits, 'countLimited'>;
}

/**
 * Registers the gauges of what a relay host knows of its backend servers.
 *
 * @param metrics - metrics of the host
 * @param sources - read at each scrape
 * @internal
 */
export function registerRelayGauges(
  metrics: Pick<Metrics, 'registerGauge'>,
  { crashes, limits }: RelayGaugeSources,
): void {
  metrics.registerGauge(
    'endiveferry_blocked_parts',
    'prompt parts that are not sent because backend servers crash under them',
    () => [{ labels: {}, value: crashes.countBlocked() }],
  );
  metrics.registerGauge(
    'endiveferry_limited_servers',
    'backend servers that have named a limit of requests a second',
    () => [{ labels: {}, value: limits.countLimited() }],
  );
}
