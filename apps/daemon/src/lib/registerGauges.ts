import type { GaugeValue, Metrics } from '@endiveferry/telemetry';

import type { HostStatus, PoolStatus } from './buildStatus.js';

/**
 * Registers gauges for the figures of a host's status. Their values are read at each scrape.
 *
 * @param metrics - the registry
 * @param buildStatus - builds the current status
 * @internal
 */
export function registerGauges(metrics: Metrics, buildStatus: () => HostStatus): void {
  const registerPool = (name: string, help: string, read: (pool: PoolStatus) => number) =>
    metrics.registerGauge(name, help, () =>
      buildStatus().pools.map((pool) => ({ labels: { pool: pool.poolId }, value: read(pool) })),
    );
  const registerHost = (name: string, help: string, read: (status: HostStatus) => number) =>
    metrics.registerGauge(name, help, () => [{ labels: {}, value: read(buildStatus()) }]);

  registerPool('endiveferry_pool_running', 'calls in progress', ({ running }) => running);
  registerPool('endiveferry_pool_waiting', 'calls that wait for a slot', ({ waiting }) => waiting);
  registerPool('endiveferry_pool_budget', 'calls that this host may run', ({ budget }) => budget);
  registerPool('endiveferry_pool_capacity', 'calls that the pool can run', (pool) => pool.capacity);
  registerPool('endiveferry_pool_retries', 'retries and hedges so far', ({ retries }) => retries);
  registerHost(
    'endiveferry_configuration_revision',
    'revision in force',
    ({ configurationRevision }) => configurationRevision ?? 0,
  );
  registerHost(
    'endiveferry_configuration_rejected_revision',
    'newest revision that is not in force because it is invalid; 0 when there is none',
    ({ rejected }) => rejected?.revision ?? 0,
  );
  registerHost('endiveferry_key_records', 'idempotency keys remembered', (s) => s.keyRecords);
  registerHost(
    'endiveferry_links_up',
    'hosts that answer',
    ({ peers }) => peers.filter(({ link }) => link === 'up').length,
  );
  metrics.registerGauge(
    'endiveferry_backend_server_usable',
    'whether a backend server takes work: 1 or 0',
    () => buildStatus().pools.flatMap(listServerValues),
  );
}

function listServerValues(pool: PoolStatus): GaugeValue[] {
  return pool.backendServers.map(({ serverId, health, isLeaving }) => ({
    labels: { pool: pool.poolId, backend_server: serverId },
    value: health === 'ejected' || isLeaving ? 0 : 1,
  }));
}
