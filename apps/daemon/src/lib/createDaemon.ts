import { randomBytes } from 'node:crypto';

import {
  createStallMonitor,
  createRandom,
  createSupervisor,
  createSystemClock,
  describeError,
  listEntries,
  processIdSchema,
  waitFor,
  type BackendServerId,
  type HostId,
} from '@endiveferry/base';
import { createFleetDemand } from '@endiveferry/admission';
import { createClaims } from '@endiveferry/claims';
import {
  choosePeers,
  createAnnouncer,
  createPeerNetwork,
  heartbeatCodec,
  isFullyLinked,
  type Heartbeat,
  type PeerNetwork,
} from '@endiveferry/peers';
import { createPipelineRunner, createPoolSet } from '@endiveferry/pipeline';
import { createCrashTracker } from '@endiveferry/routing';
import { isLoopback } from '@endiveferry/settings';
import { createLogger, createMetrics, createTraceStore } from '@endiveferry/telemetry';

import { buildDemand, buildHeartbeat } from './buildHeartbeat.js';
import { buildStatus } from './buildStatus.js';
import { createCallersListener } from './createCallersListener.js';
import { createControlState } from './createControlState.js';
import { createFleetLimiter } from './createFleetLimiter.js';
import { createLifecycle } from './createLifecycle.js';
import { createListenerLimits } from './createListenerLimits.js';
import { createOperatorsListener } from './createOperatorsListener.js';
import { createPeerHandlers } from './createPeerHandlers.js';
import { createRequestService } from './createRequestService.js';
import { createSuccessorTable } from './createSuccessorTable.js';
import type { Daemon, DaemonOptions } from './Daemon.js';
import { readTlsKeys } from './readTlsKeys.js';
import { registerGauges } from './registerGauges.js';
import { startConfigurationSource } from './startConfigurationSource.js';
import { startPlacementReconciler } from './startPlacementReconciler.js';
import { updateKeyOwners } from './updateKeyOwners.js';

const DEFAULT_READINESS_GRACE_MS = 3_000;
const READY_POLL_INTERVAL_MS = 20;
/** Shortest event loop stall after which connections are replaced, in milliseconds. */
const MIN_STALL_MS = 2_000;
/** Minimum wait for the outcome of a forwarded request, however little time remains. */
const MIN_FORWARD_TIMEOUT_MS = 50;

/**
 * Starts a daemon.
 *
 * @param options - see {@link DaemonOptions}
 * @returns the daemon, listening
 * @throws Error when an address cannot be bound or a TLS file cannot be read
 * @public
 */
export async function createDaemon(options: DaemonOptions): Promise<Daemon> {
  const { settings, clock = createSystemClock() } = options;
  const { hostId, availabilityZone } = settings;
  const random = createRandom(options.seed ?? randomBytes(4).readInt32BE(0));
  const processId = processIdSchema.parse(randomBytes(6).toString('hex'));
  const logger = createLogger(hostId, settings.logLevel);
  const metrics = createMetrics();
  const traces = createTraceStore(clock);
  const fleetDemand = createFleetDemand(clock);
  const supervisor = createSupervisor(hostId, {
    clock,
    onCrash: (path, error) =>
      logger.error('task failed; restarting it', { path, error: describeError(error) }),
  });
  let callerKeys = readTlsKeys(settings.callers.tls);
  let peerKeys = readTlsKeys(settings.peers.tls);

  const control = createControlState({
    logger,
    onChange: applyControlState,
    onConfirm: (asOfMs) => claims.view.confirm(asOfMs),
  });
  const getLimits = () =>
    control.configuration()?.limits ?? { clockSkewMs: 0, viewValidityMs: 0, keyRetentionMs: 0 };
  const successors = createSuccessorTable(hostId, clock, () => getLimits().keyRetentionMs);
  const crashes = createCrashTracker({
    clock,
    logger,
    onChange: createAnnouncer(clock, () => network.sendHeartbeats()),
  });
  const peers = createPeerHandlers({
    control,
    fleetDemand,
    successors,
    crashes,
    getNetwork: () => network,
    getClaims: () => claims,
    onLeavingServersChange: applyLeavingServers,
  });
  const pools = createPoolSet({
    hostId,
    availabilityZone,
    clock,
    random,
    logger,
    fleetDemand,
    crashes,
    hasDemandOfAllHosts: isFullyLinked,
    supervisor: supervisor.createChild('pools'),
  });
  const limiter = createFleetLimiter({ hostId, clock, control, fleetDemand });
  const claims = createClaims({
    hostId,
    processId,
    secret: randomBytes(32).toString('hex'),
    clock,
    getLimits,
    findProcess: (id) => (id === hostId ? processId : peers.findProcess(id)),
    findSuccessor: (id) => successors.findSuccessor(id),
    forward: (target, request) => {
      const timeoutMs = Math.max(MIN_FORWARD_TIMEOUT_MS, request.remainingMs);
      return network.request(target, 'forward-request', request, timeoutMs);
    },
    execute: (request, mayRun) => service.executeKeyed(request, mayRun),
  });
  const service = createRequestService({
    clock,
    logger,
    metrics,
    traces,
    runner: createPipelineRunner({ pools, clock, metrics, logger }),
    limiter,
    getClaims: () => claims,
    getConfiguration: control.configuration,
  });
  const lifecycle = createLifecycle({
    clock,
    logger,
    control,
    claims,
    getNetwork: () => network,
    listHandoverTargets: peers.listHandoverTargets,
    countActive: service.countActive,
    readinessGraceMs: options.readinessGraceMs ?? DEFAULT_READINESS_GRACE_MS,
    closeAll,
  });

  function applyControlState(): void {
    const configuration = control.configuration();
    if (configuration === undefined) return;
    const hosts = control.listHosts();
    updateKeyOwners(control, claims);
    pools.update(configuration, [...hosts.keys()]);
    network.setPeers(choosePeers(hostId, hosts));
    applyLeavingServers();
    network.sendHeartbeats();
  }

  function applyLeavingServers(): void {
    const listed = control.listLeavingServers();
    pools.setLeavingServers(new Set<BackendServerId>([...listed, ...peers.listLeavingServers()]));
  }

  function buildOwnHeartbeat() {
    const demand = buildDemand(pools, limiter);
    fleetDemand.recordDemand(hostId, demand);
    const isDraining = lifecycle.state() !== 'ready';
    const own = { processId, isDraining, demand };
    return buildHeartbeat({ ...own, control, claims, successors, pools, crashes });
  }

  function findPeerAddress(id: HostId): string | undefined {
    const configured = control.configuration()?.hosts[id]?.peerAddress;
    const address = configured ?? settings.peers.seeds[id];
    // Unencrypted connections to other machines are rejected, whatever the configuration says.
    const isAllowed = address !== undefined && (peerKeys !== undefined || isLoopback(address));
    return isAllowed ? address : undefined;
  }

  const network: PeerNetwork<Heartbeat> = await createPeerNetwork({
    hostId,
    processId,
    address: settings.peers.address,
    keys: () => peerKeys,
    clock,
    random,
    logger,
    supervisor: supervisor.createChild('peers'),
    findAddress: findPeerAddress,
    isListed: (id) => control.configuration() === undefined || control.listHosts().has(id),
    codec: heartbeatCodec,
    buildHeartbeat: buildOwnHeartbeat,
    onHeartbeat: peers.receiveHeartbeat,
    handleRequest: peers.handleRequest,
  });
  const listenerLimits = createListenerLimits({ clock, logger, metrics });
  const callers = createCallersListener({
    bodies: listenerLimits.bodies,
    limits: listenerLimits.callers,
    findKeys: () => callerKeys,
    hostId,
    processId,
    clock,
    logger,
    metrics,
    service,
    getConfiguration: control.configuration,
    issueKey: (workspaceId) => claims.issueKey(workspaceId),
    isRejecting: () => lifecycle.state() === 'refusing',
  });
  const buildOwnStatus = () =>
    buildStatus({
      hostId,
      processId,
      state: lifecycle.state(),
      activeRequests: service.countActive(),
      keyRecords: claims.countRecords(),
      control,
      network,
      pools,
    });
  const operators = createOperatorsListener({
    limits: listenerLimits.createShort('operators'),
    token: settings.operators.token,
    metrics,
    traces,
    isReady: () => lifecycle.state() === 'ready',
    buildStatus: buildOwnStatus,
    drain: () => void lifecycle.drain(),
  });

  /** Remote ends may have closed connections during the stall. Views expire without this. */
  function replaceConnections(pausedMs: number): void {
    logger.warn('event loop stalled; replacing all connections', { pausedMs });
    pools.renewConnections();
    network.renewLinks();
  }

  async function closeAll(): Promise<void> {
    await callers.close();
    await supervisor.stop();
    await network.close();
    await pools.close();
    await operators.close();
  }

  const placement = supervisor.createChild('orders');
  startPlacementReconciler({ clock, logger, supervisor: placement, claims, control, pools });
  registerGauges(metrics, buildOwnStatus);
  const addresses = {
    callers: await callers.listen(settings.callers.address),
    peers: network.address,
    operators: await operators.listen(settings.operators.address),
  };
  supervisor.spawn('pauses', createStallMonitor(clock, MIN_STALL_MS, replaceConnections));
  network.setPeers(listEntries(settings.peers.seeds).map(([id]) => id));
  supervisor.spawn('readiness', (signal) => lifecycle.becomeReady(signal));
  const source = await startConfigurationSource({
    platform: settings.platform,
    hostId,
    clock,
    random,
    logger,
    supervisor: supervisor.createChild('platform'),
    control,
  });
  logger.info('started', addresses);

  return {
    hostId,
    processId,
    addresses,
    state: lifecycle.state,
    status: buildOwnStatus,
    async waitUntilReady() {
      while (lifecycle.state() === 'starting') await waitFor(clock, READY_POLL_INTERVAL_MS);
    },
    drain: lifecycle.drain,
    async kill() {
      const killed = lifecycle.kill();
      callers.destroy();
      await killed;
    },
    async reload() {
      callerKeys = readTlsKeys(settings.callers.tls);
      peerKeys = readTlsKeys(settings.peers.tls);
      callers.reloadKeys();
      network.reloadKeys();
      await source.reload();
    },
  };
}
