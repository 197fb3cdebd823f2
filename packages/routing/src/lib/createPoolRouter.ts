import { listEntries, waitFor, type BackendServerId, type HostId } from '@endiveferry/base';
import type { Pool } from '@endiveferry/settings';

import { chooseServer, type ChoiceRequest } from './chooseServer.js';
import { chooseSubset } from './chooseSubset.js';
import { computeOwnSlots } from './computeOwnSlots.js';
import { createPrefixSavingEstimator } from './createPrefixSavingEstimator.js';
import { createPrefixIndex } from './createPrefixIndex.js';
import { createServerState, type ServerState } from './createServerState.js';
import { loadReportSchema } from './LoadReport.js';
import type { PoolRouter, PoolRouterOptions, ServerLease } from './PoolRouter.js';

/** Average number of backend servers of one pool that a host sends calls to. */
const SUBSET_SIZE = 20;
const REPORT_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 1_000;
/** Minimum time between liveness checks of a server, and so between renewals of its connections. */
const MIN_LIVENESS_CHECK_INTERVAL_MS = 1_000;
/** Maximum share of a pool's servers that may be ejected at a time. */
const MAX_EJECTED_SHARE = 0.5;

/**
 * Creates the router of one pool and starts a task for each backend server that polls its load.
 *
 * @param options - see {@link PoolRouterOptions}
 * @returns the router
 * @public
 */
export function createPoolRouter(options: PoolRouterOptions): PoolRouter {
  const { hostId, clock, random, logger, availabilityZone, supervisor } = options;
  const servers = new Map<BackendServerId, { state: ServerState; stop: () => Promise<void> }>();
  const prefixIndex = createPrefixIndex();
  let pool = options.pool;
  const prefixSavingEstimator = createPrefixSavingEstimator();
  let listedLeavingIds: ReadonlySet<BackendServerId> = new Set();
  let nonLeavingIds: readonly BackendServerId[] = [];
  let appliedShares: ReadonlyMap<HostId, number> | undefined;
  let ownSlots: ReadonlyMap<BackendServerId, number> = new Map();

  const listStates = () => [...servers.values()].map(({ state }) => state);

  function canEject(): boolean {
    const states = listStates();
    const ejected = states.filter((state) => state.health.state() === 'ejected').length;
    return ejected + 1 <= states.length * MAX_EJECTED_SHARE;
  }

  async function pollLoadReport(state: ServerState, stopSignal: AbortSignal): Promise<void> {
    const result = await state.connections.send({
      method: 'GET',
      path: '/v1/load',
      signal: AbortSignal.any([stopSignal, AbortSignal.timeout(REPORT_TIMEOUT_MS)]),
    });
    if (stopSignal.aborted) return;
    if (result.kind === 'answered') {
      applyReport(state, result.body);
    } else if (result.kind === 'unknown') {
      await checkLiveness(state);
    } else {
      state.health.recordFailure(canEject());
    }
  }

  function applyReport(state: ServerState, body: Buffer): void {
    const report = loadReportSchema.safeParse(parseJson(body));
    if (!report.success) return;
    state.recordReport(report.data);
    if (report.data.cache !== undefined) prefixIndex.applyEvents(state.id, report.data.cache);
  }

  const livenessCheckedAt = new Map<BackendServerId, number>();

  async function checkLiveness(state: ServerState): Promise<void> {
    const lastAt = livenessCheckedAt.get(state.id) ?? -Infinity;
    if (clock.now() - lastAt < MIN_LIVENESS_CHECK_INTERVAL_MS) return;
    livenessCheckedAt.set(state.id, clock.now());
    const response = await state.connections.probe();
    if (response === undefined) {
      state.health.recordFailure(canEject());
      return;
    }
    logger.info('a call to a live backend server got no response; replacing its connections', {
      backendServer: state.id,
    });
    state.connections.renew();
  }

  async function pollServer(state: ServerState, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pollLoadReport(state, signal);
      await waitFor(clock, REPORT_INTERVAL_MS * (0.75 + random.nextFraction() / 2), signal);
    }
  }

  function addServer(serverId: BackendServerId, settings: Pool['backendServers'][BackendServerId]) {
    const state = createServerState({
      id: serverId,
      settings,
      clock,
      random,
      getServerConcurrency: () => pool.serverConcurrency,
      onHealthChange: (health) =>
        logger.warn('health of a backend server changed', { backendServer: serverId, health }),
    });
    const stop = supervisor.spawn(`server-${serverId}`, (signal) => pollServer(state, signal));
    servers.set(serverId, { state, stop });
  }

  async function removeServer(serverId: BackendServerId): Promise<void> {
    const server = servers.get(serverId);
    servers.delete(serverId);
    prefixIndex.removeServer(serverId);
    livenessCheckedAt.delete(serverId);
    await server?.stop();
    await server?.state.connections.close();
  }

  function applySettings(hosts: readonly HostId[]): void {
    const ids = listEntries(pool.backendServers).map(([id]) => id);
    const subset = new Set(chooseSubset(hostId, hosts, ids, SUBSET_SIZE));
    for (const [serverId, { state }] of servers) {
      const next = pool.backendServers[serverId];
      const isSame = next?.address === state.settings.address;
      if (!subset.has(serverId) || !isSame) void removeServer(serverId);
    }
    for (const [serverId, settings] of listEntries(pool.backendServers)) {
      if (!subset.has(serverId)) continue;
      const existing = servers.get(serverId);
      if (existing === undefined) addServer(serverId, settings);
      else existing.state.settings = settings;
    }
    applyLeaving();
  }

  function applyLeaving(): void {
    for (const state of listStates()) state.setLeaving('list', listedLeavingIds.has(state.id));
    appliedShares = undefined;
    nonLeavingIds = listEntries(pool.backendServers)
      .filter(([id, settings]) => !settings.isLeaving && !listedLeavingIds.has(id))
      .map(([id]) => id);
  }

  const findServer = (request: ChoiceRequest) =>
    chooseServer(request, {
      servers: listStates(),
      ownSlots,
      prefixSavingMs: prefixSavingEstimator.estimate(),
      availabilityZone,
      prefixIndex,
      random,
    });

  function createLease(state: ServerState, hitRatio: number): ServerLease {
    state.startCall();
    let isEnded = false;
    const end = (record?: () => void) => {
      if (isEnded) return;
      isEnded = true;
      state.endCall();
      record?.();
    };
    return {
      serverId: state.id,
      send: (call) => state.connections.send(call),
      recordSuccess: (serviceMs) =>
        end(() => {
          state.recordLatency(serviceMs);
          state.health.recordSuccess();
        }),
      recordFailure: () => end(() => state.health.recordFailure(canEject())),
      recordOverload: () => end(() => state.recordOverload()),
      end: () => end(),
      checkLiveness: () => checkLiveness(state),
      recordFirstToken: (durationMs) => prefixSavingEstimator.record(hitRatio, durationMs),
    };
  }

  applySettings(options.hosts);

  return {
    update(nextPool, hosts) {
      pool = nextPool;
      applySettings(hosts);
    },
    setLeavingServers(serverIds) {
      listedLeavingIds = serverIds;
      applyLeaving();
    },
    setShares(shares) {
      if (shares === appliedShares) return;
      appliedShares = shares;
      ownSlots = computeOwnSlots(hostId, shares, nonLeavingIds, pool.serverConcurrency);
    },
    hasServer: (request) => findServer(request) !== undefined,
    reserve(request) {
      const state = findServer(request);
      if (state === undefined) return undefined;
      const hitRatio = prefixIndex.computeHitRatio(state.id, request.prefixes);
      prefixIndex.recordSent(state.id, request.prefixes);
      return createLease(state, hitRatio);
    },
    capacity() {
      const states = listStates();
      const usable = states.filter((state) => !state.isLeaving());
      const usableCapacity = usable.reduce((sum, state) => sum + state.capacity(), 0);
      const total = Object.keys(pool.backendServers).length;
      return states.length === 0 ? 0 : (usableCapacity * total) / states.length;
    },
    getReportedModels(serverId) {
      const models = servers.get(serverId)?.state.reportedModels();
      return models === undefined ? undefined : [...models];
    },
    sendTo: async (serverId, call) => servers.get(serverId)?.state.connections.send(call),
    listStatus: () =>
      listStates().map((state) => ({
        serverId: state.id,
        health: state.health.state(),
        isLeaving: state.isLeaving(),
        running: state.running(),
        load: state.load(),
        latencyMs: state.latencyMs(),
      })),
    listReportedLeavingServers: () =>
      listStates()
        .filter((state) => state.isLeaving() && !listedLeavingIds.has(state.id))
        .map((state) => state.id),
    renewConnections() {
      for (const state of listStates()) state.connections.renew();
    },
    async close() {
      await Promise.all([...servers.keys()].map((serverId) => removeServer(serverId)));
    },
  };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
