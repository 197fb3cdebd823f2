import { randomBytes } from 'node:crypto';

import {
  createStallMonitor,
  createRandom,
  createSupervisor,
  createSystemClock,
  describeError,
  hostIdSchema,
  processIdSchema,
  waitFor,
  type BackendServerId,
  type PoolId,
} from '@endiveferry/base';
import {
  createBackends,
  createConfigurationTracker,
  createFleet,
  createRelayService,
  createServerList,
  createStageClient,
  createDualClock,
  createWaitTable,
  findWaitMs,
  type Fleet,
  type HostEnvironment,
  type RelayService,
  type StoreReaderOptions,
  type StoreListener,
  type WireProtocol,
} from '@endiveferry/relay';
import { createLogger, createMetrics } from '@endiveferry/telemetry';

import { createDispatchers } from './createDispatchers.js';
import { createMetricsListener } from './createMetricsListener.js';
import { createReadinessListener } from './createReadinessListener.js';
import { createRelayListener } from './createRelayListener.js';

/** A process that stood still for so long, in milliseconds, distrusts its connections. */
const SHORTEST_PAUSE_MS = 1_000;
/** Time for the balancer to send new connections elsewhere, in milliseconds: two questions, and some. */
const BALANCER_MOVES_MS = 2_700;
/** Time kept of the grace for breaking off what is left and ending, in milliseconds. */
const END_MARGIN_MS = 400;
const STOP_POLL_MS = 50;

/** Options of a relay host. @public */
export interface RelayHostOptions {
  readonly environment: HostEnvironment;
  readonly protocol: WireProtocol;
  /** Where metrics are served. */
  readonly metricsAddress: string;
  /** Starts reading configuration and list of backend servers. */
  readonly startSource: (options: StoreReaderOptions) => void;
}

/** A running relay host. @public */
export interface RelayHost {
  /** The addresses in use. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly metrics: string;
  };
  /** Stops gracefully: no request in progress is cut off before the grace is over. */
  stop(): Promise<void>;
  /** Ends everything at once, as a crash would. */
  close(): Promise<void>;
  /** Notes in the log that settings were read again. */
  noteReload(detail: string): void;
  /** Notes a fault of the program that no task answers for. */
  noteFault(detail: string): void;
}

/**
 * Starts a host that passes callers' requests on to backend servers.
 *
 * @param options - see {@link RelayHostOptions}
 * @returns the host, listening
 * @throws Error when an address cannot be used
 * @public
 */
export async function createRelayHost(options: RelayHostOptions): Promise<RelayHost> {
  const { environment, protocol } = options;
  const clock = createSystemClock();
  const dualClock = createDualClock(clock);
  const random = createRandom(randomBytes(4).readInt32BE(0));
  const processId = processIdSchema.parse(randomBytes(6).toString('hex'));
  const logger = createLogger(hostIdSchema.parse(environment.hostName), 'info');
  const metrics = createMetrics();
  const supervisor = createSupervisor(environment.hostName, {
    clock,
    onCrash: (path, error) =>
      logger.error('a task failed and is started again', { path, error: describeError(error) }),
  });
  let isStopping = false;
  let isRejecting = false;

  const countHosts = () => fleet.countHosts();
  const backends = createBackends({ clock, random, logger, countHosts });
  const configurationTracker = createConfigurationTracker({
    dualClock,
    logger,
    findRevocationMs: () => environment.revocationMs,
    onChange({ configuration }) {
      listener.applyLimits(configuration.limits);
      applyServers();
      fleet.announce();
    },
  });
  const servers = createServerList(clock, logger, applyServers);
  const onGone = (serverId: BackendServerId) =>
    servers.remove(serverId, 'another server answered at its address');
  const dispatchers = createDispatchers({
    clock,
    logger,
    protocol,
    backends,
    onGone,
    mayRepeat: (poolId) => service.mayRetry(poolId),
    estimateWaitMs: (poolId, rank) => estimateWaitMs(poolId, rank),
  });
  const findFleet = () => fleet;
  const waits = createWaitTable(clock);
  const stages = createStageClient({
    clock,
    logger,
    findFleet,
    findDispatcher: dispatchers.find,
    recordWaits: waits.record,
  });
  const service: RelayService = createRelayService({
    environment,
    clock,
    random,
    logger,
    metrics,
    protocol,
    configurationTracker,
    backends,
    stages,
    countHosts,
    countOtherHostsTokens,
    estimateWaitMs,
    isRejecting: () => isRejecting,
    onServerReplaced: onGone,
  });
  const listener = createRelayListener({
    service,
    protocol,
    logger,
    findLimits: () => configurationTracker.current()?.configuration.limits,
    isStopping: () => isStopping,
  });
  const isReady = () =>
    !isStopping && configurationTracker.current() !== undefined && servers.revision() > 0;
  const readiness = createReadinessListener(isReady);
  const metricsListener = createMetricsListener(metrics);

  function applyServers(): void {
    const pools = configurationTracker.current()?.configuration.pools;
    if (pools === undefined) return;
    backends.update(servers.list(), pools);
    dispatchers.update(pools, servers.list());
  }

  function countOtherHostsTokens(serverId: BackendServerId): number {
    const pending = fleet.listHeartbeats().flatMap((heartbeat) => heartbeat.pending);
    return pending.reduce(
      (sum, entry) => sum + (entry.serverId === serverId ? entry.tokens : 0),
      0,
    );
  }

  const listOwnWaits = (poolId: PoolId) => dispatchers.find(poolId)?.listWaits() ?? [];

  /** The waiting time that the pool's dispatcher, here or elsewhere, told last. */
  function estimateWaitMs(poolId: PoolId, rank: number): number {
    return fleet.isDispatcher(poolId)
      ? findWaitMs(listOwnWaits(poolId), rank)
      : waits.find(poolId, rank);
  }

  /** The waiting times of dispatchers on this host, and what it was told of others. */
  function listToldWaits() {
    const own = dispatchers.listPools().filter(fleet.isDispatcher);
    const told = waits.list().filter(({ poolId }) => !own.includes(poolId));
    const ownWaits = own.map((poolId) => ({ poolId, ageMs: 0, byRank: listOwnWaits(poolId) }));
    return [...ownWaits, ...told];
  }

  const storeListener: StoreListener = {
    onConfiguration: (document, askedAt) =>
      configurationTracker.apply(document, askedAt, 'the store'),
    onServerList: (list, revision) => servers.replace(list, revision, 'the store'),
    onServerChanges: (changes, revision) => servers.apply(changes, revision),
    onReachabilityChange(what, isReached, detail) {
      if (what === 'servers' && isReached) servers.recordStoreRecovery();
      logger.warn(isReached ? 'the store is reached again' : 'the store is lost', {
        what,
        detail,
        version: configurationTracker.version(),
        serversRevision: servers.revision(),
      });
    },
  };

  /** What another side may have forgotten while this process stood still is opened anew. */
  function distrustConnections(pausedMs: number): void {
    logger.warn('this process stood still; its connections are replaced', { pausedMs });
    backends.renewConnections();
    fleet.renewLinks();
  }

  const fleet: Fleet = await createFleet({
    environment,
    processId,
    clock,
    dualClock,
    random,
    logger,
    supervisor: supervisor.createChild('peers'),
    protocol,
    configurationTracker,
    servers,
    isStopping: () => isStopping,
    buildLoad: () => ({ waits: listToldWaits(), pending: backends.listPending() }),
    listStagePools: dispatchers.listPools,
    recordWaits: waits.record,
    handleRequest: stages.handleRequest,
  });
  const callers = await listener.listen(environment.callersAddress);
  options.startSource({
    clock,
    dualClock,
    random,
    logger,
    supervisor: supervisor.createChild('store'),
    listener: storeListener,
    confirmedAgeMs: configurationTracker.confirmedAgeMs,
  });
  const addresses = {
    callers,
    readiness: await readiness.listen(environment.readinessAddress),
    metrics: await metricsListener.listen(options.metricsAddress),
  };
  supervisor.spawn('pauses', createStallMonitor(clock, SHORTEST_PAUSE_MS, distrustConnections));
  logger.info('started', {
    process: processId,
    callers: environment.callersAddress,
    peers: environment.peersAddress,
    seeds: [...environment.seeds],
  });

  async function waitForEnd(since: number): Promise<void> {
    const endAt = since + environment.graceMs - END_MARGIN_MS;
    for (;;) {
      await waitFor(clock, STOP_POLL_MS);
      const hasMoved = clock.now() - since >= BALANCER_MOVES_MS;
      // What still comes on kept connections might be cut off at the end; elsewhere it is not.
      isRejecting = hasMoved;
      const isIdle = service.countActive() === 0 && dispatchers.countWaiting() === 0;
      if ((hasMoved && isIdle) || clock.now() >= endAt) return;
    }
  }

  return {
    addresses,
    async close() {
      for (const server of [listener, readiness, metricsListener]) server.destroy();
      await Promise.all([listener.close(), readiness.close(), metricsListener.close()]);
      await fleet.close();
      await supervisor.stop();
      await backends.close();
    },
    async stop() {
      if (isStopping) return;
      isStopping = true;
      const since = clock.now();
      logger.info('stopping', {
        activeRequests: service.countActive(),
        graceMs: environment.graceMs,
      });
      fleet.announce();
      await waitForEnd(since);
      logger.info('stopped', {
        cutOff: service.countActive(),
        durationMs: Math.round(clock.now() - since),
      });
    },
    noteReload: (detail) => logger.info('settings were read again', { detail }),
    noteFault: (detail) => logger.error('a fault of the program', { detail }),
  };
}
