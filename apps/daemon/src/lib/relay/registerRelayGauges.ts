import type { ServerLimits } from '@endiveferry/admission';
import type {
  ConfigurationTracker,
  LeavingServers,
  ServerList,
  ServerRamps,
  ServerPaths,
  WarmUps,
  StoreEpochs,
  Tunnels,
} from '@endiveferry/relay';
import type { CrashTracker } from '@endiveferry/routing';
import type { Metrics } from '@endiveferry/telemetry';

/** State that the gauges publish. @internal */
export interface RelayGaugeSources {
  readonly crashes: Pick<CrashTracker, 'countBlocked'>;
  readonly limits: Pick<ServerLimits, 'countLimited' | 'backoffs'>;
  readonly leaving: Pick<LeavingServers, 'count'>;
  readonly servers: Pick<ServerList, 'list'>;
  readonly ramps: Pick<ServerRamps, 'count'>;
  readonly warmUps: Pick<WarmUps, 'count'>;
  readonly configurationTracker: Pick<ConfigurationTracker, 'version' | 'confirmedAgeMs'>;
  readonly epochs: Pick<StoreEpochs, 'current'>;
  readonly paths: Pick<ServerPaths, 'countCut'>;
  readonly tunnels: Pick<Tunnels, 'countCarried'>;
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
  sources: RelayGaugeSources,
): void {
  const { crashes, limits, leaving, ramps, servers, configurationTracker, epochs, paths, tunnels } =
    sources;
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
  metrics.registerGauge(
    'endiveferry_backoff_servers',
    'backend servers that requested a backoff from this host, which has not ended',
    () => [{ labels: {}, value: limits.backoffs.count() }],
  );
  metrics.registerGauge(
    'endiveferry_leaving_servers',
    'backend servers that said in a response that they leave, while the store lists them as ready',
    () => [{ labels: {}, value: leaving.count() }],
  );
  metrics.registerGauge(
    'endiveferry_cold_servers',
    'backend servers that have started a short time ago, and get a limited rate of requests',
    () => [{ labels: {}, value: sources.warmUps.count() }],
  );
  metrics.registerGauge(
    'endiveferry_evacuated_servers',
    'backend servers to which nothing is sent, because their availability zone is evacuated',
    () => [{ labels: {}, value: servers.list().filter((server) => server.isEvacuated).length }],
  );
  metrics.registerGauge(
    'endiveferry_ramping_servers',
    'backend servers that get only a share of their normal work after a start or a recovery',
    () => [{ labels: {}, value: ramps.count() }],
  );
  metrics.registerGauge(
    'endiveferry_store_epoch',
    'latest epoch of the store; it rises when the store returns from a copy',
    () => [{ labels: {}, value: epochs.current() }],
  );
  metrics.registerGauge(
    'endiveferry_cut_servers',
    'backend servers that this host reaches through other hosts only',
    () => [{ labels: {}, value: paths.countCut() }],
  );
  metrics.registerGauge(
    'endiveferry_carried_connections',
    'connections to backend servers that this host carries for others',
    () => [{ labels: {}, value: tunnels.countCarried() }],
  );
  metrics.registerGauge('endiveferry_configuration_version', 'version in force', () => [
    { labels: {}, value: configurationTracker.version() },
  ]);
  metrics.registerGauge(
    'endiveferry_configuration_confirmed_age_seconds',
    'time since the version in force was last confirmed; infinite without a confirmation',
    () => [{ labels: {}, value: configurationTracker.confirmedAgeMs() / 1_000 }],
  );
}
