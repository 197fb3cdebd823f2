import { randomBytes } from 'node:crypto';

import {
  createRandom,
  createStateMachine,
  createSupervisor,
  createSystemClock,
  describeError,
  listEntries,
  processIdSchema,
  waitFor,
  type BackendServerId,
  type Clock,
  type HostId,
  type ProcessId,
} from '@endiveferry/base';
import { createFleetDemand, createWorkspaceLimiter, type HostDemand } from '@endiveferry/admission';
import { createClaims, type HandOverPlan } from '@endiveferry/claims';
import {
  choosePeers,
  createPeerNetwork,
  type Heartbeat,
  type PeerNetwork,
} from '@endiveferry/peers';
import { createPipelineRunner, createPoolSet } from '@endiveferry/pipeline';
import { createPlatformClient } from '@endiveferry/platform';
import {
  formatFault,
  isLoopback,
  readConfiguration,
  readFolder,
  type ProcessSettings,
} from '@endiveferry/settings';
import { createLogger, createMetrics, createTraceStore } from '@endiveferry/telemetry';

import { buildStatus, type HostStatus } from './buildStatus.js';
import { createCallersListener } from './createCallersListener.js';
import { createControlState } from './createControlState.js';
import { createOperatorsListener } from './createOperatorsListener.js';
import { createPeerHandlers } from './createPeerHandlers.js';
import { createRequestService } from './createRequestService.js';
import { readTlsKeys } from './readTlsKeys.js';

/** Time for the balancer to notice that the host is not ready before it refuses requests. */
const DEFAULT_READINESS_GRACE_MS = 3_000;
/** How long a host that starts waits for a configuration before it looks again. */
const CONFIGURATION_POLL_MS = 20;
/** How long a host that starts waits for others that do not answer. */
const MAX_ASKING_MS = 2_000;
const ACTIVE_POLL_MS = 20;
const HAND_OVER_TIMEOUT_MS = 5_000;
/** Shortest time beyond which a forwarded request's outcome is not waited for. */
const MIN_FORWARD_TIMEOUT_MS = 50;

/** A workspace that offers fewer requests a second is left out of heartbeats. */
const MIN_REPORTED_RATE = 0.01;

/** Where a daemon is in its life. @public */
export type DaemonState = 'starting' | 'ready' | 'draining' | 'refusing' | 'stopped';

/**
 * Options of a daemon, for tests and trials.
 *
 * @public
 */
export interface DaemonOptions {
  readonly settings: ProcessSettings;
  readonly clock?: Clock;
  readonly seed?: number;
  readonly readinessGraceMs?: number;
}

/**
 * A running daemon.
 *
 * @public
 */
export interface Daemon {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  /** The addresses in use. */
  readonly addresses: {
    readonly callers: string;
    readonly peers: string;
    readonly operators: string;
  };
  readonly state: () => DaemonState;
  readonly status: () => HostStatus;
  /** Resolves when a configuration is in force and requests are taken. */
  waitUntilReady(): Promise<void>;
  /** Stops gracefully: no request in progress is cut off. Further calls wait for the same end. */
  drain(): Promise<void>;
  /** Stops at once, as a crash would. */
  kill(): Promise<void>;
  /** Reads TLS files, and a local configuration folder, again. */
  reload(): Promise<void>;
}

/**
 * Starts a daemon.
 *
 * @param options - see {@link DaemonOptions}
 * @returns the daemon, listening
 * @throws Error when an address cannot be used or a TLS file cannot be read
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
      logger.error('a task failed and is started again', { path, error: describeError(error) }),
  });
  const machine = createStateMachine<DaemonState, 'ready' | 'drain' | 'refuse' | 'stop'>(
    'starting',
    {
      starting: { ready: 'ready', drain: 'draining', stop: 'stopped' },
      ready: { drain: 'draining', stop: 'stopped' },
      draining: { refuse: 'refusing', stop: 'stopped' },
      refusing: { stop: 'stopped' },
      stopped: {},
    },
    (state) => logger.info('state changed', { state }),
  );

  const control = createControlState({
    clock,
    logger,
    onChange: applyControl,
    onConfirm: (asOfMs) => claims.view.confirm(asOfMs),
  });
  const knowledge = createPeerHandlers({
    control,
    fleetDemand,
    findNetwork: () => network,
    findClaims: () => claims,
    onLeaving: applyLeaving,
  });
  const pools = createPoolSet({
    hostId,
    availabilityZone,
    clock,
    random,
    logger,
    fleetDemand,
    supervisor: supervisor.createChild('pools'),
  });
  const runner = createPipelineRunner({ pools, clock, metrics });
  const limiter = createWorkspaceLimiter({
    clock,
    findLimits: (id) => control.configuration()?.workspaces[id]?.limits ?? {},
    findHostShare: (id) => fleetDemand.findShare(hostId, id),
  });
  const claims = createClaims({
    hostId,
    processId,
    secret: randomBytes(32).toString('hex'),
    clock,
    findLimits: () =>
      control.configuration()?.limits ?? { clockSkewMs: 0, viewValidityMs: 0, keyRetentionMs: 0 },
    findProcess: (id) => (id === hostId ? processId : knowledge.findProcess(id)),
    findSuccessor: knowledge.findSuccessor,
    forward: (target, request) =>
      network.request(
        target,
        'forward-request',
        request,
        Math.max(MIN_FORWARD_TIMEOUT_MS, request.remainingMs),
      ),
    execute: (request, mayRun) => service.executeKeyed(request, mayRun),
  });
  const service = createRequestService({
    clock,
    logger,
    metrics,
    traces,
    runner,
    limiter,
    findClaims: () => claims,
    findConfiguration: control.configuration,
  });

  let callerKeys = readTlsKeys(settings.callers.tls);
  let peerKeys = readTlsKeys(settings.peers.tls);
  function applyControl(): void {
    const configuration = control.configuration();
    if (configuration === undefined) return;
    const hosts = control.listHosts();
    applyHomes();
    pools.update(configuration, [...hosts.keys()]);
    network.setPeers(choosePeers(hostId, hosts));
    applyLeaving();
    network.sendHeartbeats();
  }

  /** Homes of keys follow the platform's list alone, which is confirmed all the time. */
  function applyHomes(): void {
    const list = control.hostList();
    if (list === undefined) return;
    const live = listEntries(list.hosts).filter(([, { state }]) => state === 'live');
    claims.view.setHosts(
      live.map(([id]) => id),
      list.revision,
    );
  }

  function applyLeaving(): void {
    const leaving = new Set<BackendServerId>([
      ...control.listLeavingServers(),
      ...knowledge.listLeavingServers(),
    ]);
    pools.setLeaving(leaving);
  }

  function buildDemand(): HostDemand {
    return {
      pools: pools.listDemand(),
      workspaces: limiter
        .listWorkspaces()
        .map((workspaceId) => ({ workspaceId, rate: limiter.findOfferedRate(workspaceId) }))
        .filter(({ rate }) => rate > MIN_REPORTED_RATE),
    };
  }

  function buildHeartbeat(): Heartbeat {
    const demand = buildDemand();
    fleetDemand.recordDemand(hostId, demand);
    return {
      processId,
      isDraining: machine.current() !== 'ready',
      configurationRevision: control.published()?.revision ?? 0,
      hostListRevision: control.hostListRevision(),
      hostListAsOf: control.hostListAsOfMs(),
      takenOverProcesses: [...claims.listTakenOver()],
      leavingServers: pools.listPools().flatMap(({ router }) => router.listReportedLeaving()),
      demand: {
        pools: demand.pools.map(({ poolId, slots }) => ({ poolId, slots: [...slots] })),
        workspaces: [...demand.workspaces],
      },
    };
  }

  const network: PeerNetwork = await createPeerNetwork({
    hostId,
    processId,
    address: settings.peers.address,
    keys: () => peerKeys,
    clock,
    random,
    logger,
    supervisor: supervisor.createChild('peers'),
    findAddress(id) {
      const address = control.configuration()?.hosts[id]?.peerAddress ?? settings.peers.seeds[id];
      // A plain connection that leaves the machine is refused, whatever the configuration says.
      const isAllowed = address !== undefined && (peerKeys !== undefined || isLoopback(address));
      return isAllowed ? address : undefined;
    },
    isListed: (id) => control.configuration() === undefined || control.listHosts().has(id),
    buildHeartbeat,
    onHeartbeat: knowledge.receiveHeartbeat,
    handleRequest: knowledge.handleRequest,
  });

  const callers = createCallersListener({
    findKeys: () => callerKeys,
    hostId,
    processId,
    clock,
    metrics,
    service,
    findConfiguration: control.configuration,
    issueKey: (workspaceId) => claims.issueKey(workspaceId),
    isRefusing: () => machine.current() === 'refusing',
  });
  const status = () =>
    buildStatus({
      hostId,
      processId,
      state: machine.current(),
      activeRequests: service.countActive(),
      keyRecords: claims.countRecords(),
      control,
      network,
      pools,
    });
  const operators = createOperatorsListener({
    token: settings.operators.token,
    metrics,
    traces,
    isReady: () => machine.current() === 'ready',
    buildStatus: status,
    drain: () => void drain(),
  });

  async function loadFolder(folder: string): Promise<void> {
    const checked = await readConfiguration(folder);
    if (checked.isErr()) {
      logger.error('the configuration folder has faults', {
        faults: checked.error.map(formatFault),
      });
      return;
    }
    const merged = await readFolder(folder);
    if (merged.isErr()) return;
    const revision = control.seenRevision() + 1;
    control.applyConfiguration({ revision, document: merged.value.document }, 'folder');
  }

  async function startPlatform(): Promise<void> {
    if ('folder' in settings.platform) {
      await loadFolder(settings.platform.folder);
      return;
    }
    createPlatformClient({
      url: settings.platform.url,
      hostId,
      clock,
      random,
      logger,
      supervisor: supervisor.createChild('platform'),
      listener: {
        onConfiguration: (published) => control.applyConfiguration(published, 'platform'),
        onHostList: (list) => control.applyHostList(list, 'platform'),
      },
      findConfigurationRevision: control.seenRevision,
      findHostListRevision: control.hostListRevision,
    });
  }

  /** Whether some other host has not been heard yet, or knows a newer revision. */
  function hasMoreToLearn(): boolean {
    return network
      .listLinks()
      .some(
        ({ lastHeartbeat }) =>
          lastHeartbeat === undefined ||
          lastHeartbeat.configurationRevision > control.seenRevision() ||
          lastHeartbeat.hostListRevision > control.hostListRevision(),
      );
  }

  /** What the platform shows may be stale, so a starting host asks the others before it serves. */
  async function becomeReady(signal: AbortSignal): Promise<void> {
    while (control.configuration() === undefined && !signal.aborted) {
      await waitFor(clock, CONFIGURATION_POLL_MS, signal);
    }
    const askUntil = clock.now() + MAX_ASKING_MS;
    while (hasMoreToLearn() && clock.now() < askUntil && !signal.aborted) {
      await waitFor(clock, CONFIGURATION_POLL_MS, signal);
    }
    if (!signal.aborted) machine.send('ready');
  }

  /** At most one host may ever take a process's keys, so an unknown outcome ends the tries. */
  async function handOver(plan: HandOverPlan): Promise<void> {
    for (const target of plan.hosts) {
      const reply = await network.request(
        target,
        'take-over-keys',
        plan.handOver,
        HAND_OVER_TIMEOUT_MS,
      );
      if (reply.isOk() || reply.error.kind === 'unknown') return;
    }
  }

  async function waitForActive(): Promise<void> {
    while (service.countActive() > 0) await waitFor(clock, ACTIVE_POLL_MS);
  }

  async function stopGracefully(): Promise<void> {
    machine.send('drain');
    network.sendHeartbeats();
    await waitFor(clock, options.readinessGraceMs ?? DEFAULT_READINESS_GRACE_MS);
    machine.send('refuse');
    await waitForActive();
    const plans = claims.close(knowledge.listStaying());
    await Promise.all(plans.map(handOver));
    await stopEverything();
  }

  async function stopEverything(): Promise<void> {
    machine.send('stop');
    await callers.close();
    await supervisor.stop();
    await network.close();
    await pools.close();
    await operators.close();
  }

  let stopping: Promise<void> | undefined;
  function drain(): Promise<void> {
    stopping ??= stopGracefully();
    return stopping;
  }

  const addresses = {
    callers: await callers.listen(settings.callers.address),
    peers: network.address,
    operators: await operators.listen(settings.operators.address),
  };
  network.setPeers(listEntries(settings.peers.seeds).map(([id]) => id));
  supervisor.spawn('readiness', becomeReady);
  await startPlatform();
  logger.info('started', addresses);

  return {
    hostId,
    processId,
    addresses,
    state: () => machine.current(),
    status,
    async waitUntilReady() {
      while (machine.current() === 'starting') await waitFor(clock, CONFIGURATION_POLL_MS);
    },
    drain,
    async kill() {
      stopping ??= stopEverything();
      callers.destroy();
      await stopping;
    },
    async reload() {
      callerKeys = readTlsKeys(settings.callers.tls);
      peerKeys = readTlsKeys(settings.peers.tls);
      callers.reloadKeys();
      network.reloadKeys();
      if ('folder' in settings.platform) await loadFolder(settings.platform.folder);
    },
  };
}
