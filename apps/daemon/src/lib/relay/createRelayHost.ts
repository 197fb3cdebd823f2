import { randomBytes } from 'node:crypto';

import {
  createRandom,
  createSupervisor,
  createSystemClock,
  describeError,
  hostIdSchema,
  processIdSchema,
  type BackendServerId,
} from '@endiveferry/base';
import { createAnnouncer } from '@endiveferry/peers';
import {
  createConfigurationTracker,
  createFleet,
  createRelayMetrics,
  createRelayService,
  createStageClient,
  createStoreEpochs,
  createDualClock,
  type Fleet,
  type HostEnvironment,
  type RelayService,
  type StoreReaderOptions,
  type WireProtocol,
} from '@endiveferry/relay';
import { createCrashTracker } from '@endiveferry/routing';
import { createLogger, createMetrics } from '@endiveferry/telemetry';

import { createCheckListeners } from './createCheckListeners.js';
import { createDispatchers } from './createDispatchers.js';
import { createHostStop } from './createHostStop.js';
import { createHeartbeatContent } from './createHeartbeatContent.js';
import { createListenerLimits } from '../createListenerLimits.js';
import { createLoopDelayMonitor } from './createLoopDelayMonitor.js';
import { createPendingTokens } from './createPendingTokens.js';
import { createRelayListener } from './createRelayListener.js';
import { createServerAccess } from './createServerAccess.js';
import { createServerStatus } from './createServerStatus.js';
import { createStageWaits } from './createStageWaits.js';
import { createStreamTracking } from './createStreamTracking.js';
import { registerRelayGauges } from './registerRelayGauges.js';
import { startStoreReading } from './startStoreReading.js';

/** Options of {@link createRelayHost}. @public */
export interface RelayHostOptions {
  readonly environment: HostEnvironment;
  readonly protocol: WireProtocol;
  /** Address of the metrics listener, as IP:PORT. */
  readonly metricsAddress: string;
  /** Starts reading the configuration and the list of backend servers. */
  readonly startStoreReader: (options: StoreReaderOptions) => void;
}

/** A running relay host. @public */
export interface RelayHost {
  /** Addresses of the host's listeners, with the ports in use. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly metrics: string;
  };
  /** Stops gracefully: no request in progress is aborted before the end of the grace period. */
  stop(cause?: string): Promise<void>;
  /** Aborts all requests and closes all listeners and connections immediately, as a crash would. */
  close(): Promise<void>;
  /** Logs that the settings were read again. */
  logReload(detail: string): void;
}

/**
 * Starts a host that forwards callers' requests to backend servers.
 *
 * @param options - see {@link RelayHostOptions}
 * @returns the host, listening
 * @throws Error when an address cannot be bound
 * @public
 */
export async function createRelayHost(options: RelayHostOptions): Promise<RelayHost> {
  const { environment, protocol } = options;
  const clock = createSystemClock();
  const dualClock = createDualClock(clock);
  const random = createRandom(randomBytes(4).readInt32BE(0));
  const processId = processIdSchema.parse(randomBytes(6).toString('hex'));
  const logger = createLogger(hostIdSchema.parse(environment.hostName), 'info');
  const context = { environment, clock, random, logger };
  const metrics = createMetrics();
  const relayMetrics = createRelayMetrics(metrics);
  const listenerLimits = createListenerLimits({ ...context, metrics, process: environment });
  const loopDelays = createLoopDelayMonitor({ ...context, metrics, onStall: replaceConnections });
  const supervisor = createSupervisor(environment.hostName, {
    clock,
    onCrash: (path, error) =>
      logger.error('task failed; restarting it', { path, error: describeError(error) }),
  });
  const stop = createHostStop({
    clock,
    logger,
    findGraceMs: () => environment.graceMs,
    countWork: () => ({
      activeRequests: service.countActive(),
      responses: listener.countOpen(),
      groups: dispatchers.countGroups(),
      carried: tunnels.countCarried(),
    }),
    announce() {
      fleet.announce();
      tunnels.announceStop();
    },
    abortResponses() {
      service.logCutOff();
      listener.abortOpen();
    },
    findLoopDelayMs: loopDelays.findRecentMs,
  });
  const { isStopping } = stop;
  const findFleet = () => fleet;
  const announceSoon = createAnnouncer(clock, () => fleet.announce());
  const status = createServerStatus({
    ...context,
    findFleet,
    findDispatchers: () => dispatchers,
    isShared: (address) => isShared(address),
    findPool: (poolId) => configurationTracker.current()?.configuration.pools.get(poolId),
    onChange: applyServers,
    announceSoon,
  });
  const { servers } = status;
  const { backends, paths, tunnels, isShared } = createServerAccess({
    ...context,
    ...status,
    findFleet,
    isStopping,
  });
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
  const epochs = createStoreEpochs(clock, logger);
  const onServerReplaced = (serverId: BackendServerId) =>
    servers.remove(serverId, 'another server responded at its address');
  const dispatchers = createDispatchers({
    clock,
    logger,
    metrics: relayMetrics,
    protocol,
    backends,
    ...status,
    mayReceive: status.admitWrite,
    onServerReplaced,
    getRetryBudget: (poolId) => service.getRetryBudget(poolId),
    estimateWaitMs: (poolId, rank) => waits.estimateMs(poolId, rank),
  });
  const waits = createStageWaits({
    clock,
    findDispatcher: dispatchers.find,
    listPools: dispatchers.listPools,
    findFleet,
  });
  const streams = createStreamTracking({ clock, logger, servers, backends, findFleet });
  const crashes = createCrashTracker({ clock, logger, onChange: announceSoon });
  const stages = createStageClient({
    clock,
    logger,
    metrics: relayMetrics,
    findFleet,
    findDispatcher: dispatchers.find,
    recordWaits: waits.record,
    stopDeadline: stop.deadline,
  });
  const service: RelayService = createRelayService({
    ...context,
    metrics,
    relayMetrics,
    findLoopDelayMs: loopDelays.findRecentMs,
    protocol,
    configurationTracker,
    backends,
    crashes,
    ...status,
    mayReceive: status.admitWrite,
    origins: streams.origins,
    stages,
    countHosts: () => fleet.countHosts(),
    listDispatchers: (poolId) => fleet.listDispatchers(poolId),
    countOtherHostsTokens: createPendingTokens({
      clock,
      listHeartbeats: () => fleet.listHeartbeats(),
    }),
    estimateWaitMs: waits.estimateMs,
    findStopEndAt: stop.findEndAt,
    stopDeadline: stop.deadline,
    isRejecting: stop.isRejecting,
    onServerReplaced,
  });
  const listener = createRelayListener({
    ...context,
    service,
    protocol,
    getLimits: () => configurationTracker.current()?.configuration.limits,
    isStopping,
    stopDeadline: stop.deadline,
    limits: listenerLimits,
  });
  const isReady = () =>
    !isStopping() &&
    configurationTracker.current() !== undefined &&
    servers.position().revision > 0 &&
    status.evacuated.isKnown();
  registerRelayGauges(metrics, {
    crashes,
    ...status,
    configurationTracker,
    epochs,
    paths,
    tunnels,
  });
  const operators = { metrics, protocol, explain: service.explain };
  const checks = createCheckListeners(isReady, operators, listenerLimits);

  function applyServers(): void {
    streams.applyServers();
    const pools = configurationTracker.current()?.configuration.pools;
    if (pools === undefined) return;
    backends.update(servers.list(), pools);
    status.update();
    dispatchers.update(pools, servers.list());
  }

  /** Remote ends may have closed connections during the stall. */
  function replaceConnections(pausedMs: number): void {
    logger.warn('event loop stalled; replacing all connections', { pausedMs });
    backends.renewConnections();
    fleet.renewLinks();
  }

  const fleet: Fleet = await createFleet({
    ...context,
    processId,
    dualClock,
    supervisor: supervisor.createChild('peers'),
    protocol,
    configurationTracker,
    servers,
    isStopping,
    isCutOff: paths.isCutOff,
    acceptTunnel: tunnels.accept,
    ...createHeartbeatContent({ waits, backends, crashes, ...status, versions: streams.versions }),
    listStagePools: dispatchers.listPools,
    handleRequest: (from, kind, body, signal) =>
      stages.handleRequest(from, kind, body, signal) ?? streams.origins.handleRequest(kind, body),
  });
  const callers = await listener.listen(environment.callersAddress);
  startStoreReading({
    ...context,
    startStoreReader: options.startStoreReader,
    supervisor: supervisor.createChild('store'),
    configurationTracker,
    ...status,
    versions: streams.versions,
    epochs,
    dualClock,
    isReader: fleet.isStoreReader,
  });
  const addresses = {
    callers,
    ...(await checks.listen(environment.readinessAddress, options.metricsAddress)),
  };
  supervisor.spawn('pauses', loopDelays.run);
  supervisor.spawn('stability', status.stability.run);
  logger.info('started', {
    process: processId,
    callers: environment.callersAddress,
    peers: environment.peersAddress,
    seeds: [...environment.seeds],
  });

  return {
    addresses,
    async close() {
      listener.destroy();
      await Promise.all([listener.close(), checks.close()]);
      await fleet.close();
      await supervisor.stop();
      await backends.close();
    },
    stop: (cause = 'requested') => stop.run(cause),
    logReload: (detail) => logger.info('settings were read again', { detail }),
  };
}
