import type { BackendServerId, Clock, Random } from '@endiveferry/base';
import type { BackendServer } from '@endiveferry/settings';

import { createServerConnections, type ServerConnections } from './createServerConnections.js';
import { createServerHealth, type HealthState, type ServerHealth } from './createServerHealth.js';
import type { LoadReport } from './LoadReport.js';

/** Weight of the newest service time in the running mean. */
const LATENCY_GAIN = 0.1;
/** A report that is older says nothing of the load now. */
const REPORT_VALIDITY_MS = 5_000;
/** What a refusal leaves of the limit. */
const LIMIT_DECREASE = 0.8;

/**
 * What this host knows of one backend server.
 *
 * @internal
 */
export interface ServerState {
  readonly id: BackendServerId;
  readonly connections: ServerConnections;
  readonly health: ServerHealth;
  settings: BackendServer;
  /** Whether the list, the server itself or another host says that it leaves. */
  readonly isLeaving: () => boolean;
  setLeaving(source: 'list' | 'report', isLeaving: boolean): void;
  readonly running: () => number;
  /** Calls that run or wait at the server, over all hosts, as far as can be told. */
  readonly load: () => number;
  /** Calls that the server seems able to run at once. */
  readonly capacity: () => number;
  /** Mean service time lately, in milliseconds; undefined before the first call. */
  readonly latencyMs: () => number | undefined;
  startCall(): void;
  endCall(): void;
  recordLatency(serviceMs: number): void;
  /** Lowers the limit: the server refused a call or let it run out of time. */
  recordOverload(): void;
  recordReport(report: LoadReport): void;
  /** The models that the server reported; undefined before a report that names any. */
  readonly reportedModels: () => ReadonlySet<string> | undefined;
  /** Whether the server has loaded a model, as far as reports tell. */
  hasModel(model: string): boolean;
}

/**
 * Options of a backend server's state.
 *
 * @internal
 */
export interface ServerStateOptions {
  readonly id: BackendServerId;
  readonly settings: BackendServer;
  readonly clock: Clock;
  readonly random: Random;
  /** Calls that a server of this pool runs at once. */
  readonly findServerConcurrency: () => number;
  readonly onHealthChange: (state: HealthState) => void;
}

/**
 * Creates the state of a backend server that nothing has been sent to yet.
 *
 * @param options - see {@link ServerStateOptions}
 * @returns the state
 * @internal
 */
export function createServerState(options: ServerStateOptions): ServerState {
  const { id, clock, random, findServerConcurrency } = options;
  const connections = createServerConnections(options.settings.address);
  const health = createServerHealth(clock, random, options.onHealthChange);
  const leaving = { list: false, report: false };
  let running = 0;
  let latencyMs: number | undefined;
  let limitShare = 1;
  let report:
    { readonly load: number; readonly ownRunning: number; readonly at: number } | undefined;
  let loadedModels: ReadonlySet<string> | undefined;

  const state: ServerState = {
    id,
    connections,
    health,
    settings: options.settings,
    isLeaving: () => leaving.list || leaving.report || state.settings.isLeaving,
    setLeaving(source, isLeaving) {
      leaving[source] = isLeaving;
    },
    running: () => running,
    load() {
      if (report === undefined || clock.now() - report.at > REPORT_VALIDITY_MS) return running;
      // The report lags; what this host has started or ended since is known exactly.
      return Math.max(running, report.load + running - report.ownRunning);
    },
    capacity: () =>
      Math.min(Math.max(1, findServerConcurrency() * limitShare), health.maxConcurrency()),
    latencyMs: () => latencyMs,
    startCall() {
      running += 1;
    },
    endCall() {
      running -= 1;
    },
    recordLatency(serviceMs) {
      latencyMs =
        latencyMs === undefined ? serviceMs : latencyMs + (serviceMs - latencyMs) * LATENCY_GAIN;
      limitShare = Math.min(1, limitShare + 0.1 / findServerConcurrency());
    },
    recordOverload() {
      limitShare = Math.max(1 / findServerConcurrency(), limitShare * LIMIT_DECREASE);
    },
    recordReport(next) {
      report = { load: next.running + next.queued, ownRunning: running, at: clock.now() };
      leaving.report = next.isLeaving;
      if (next.models !== undefined) loadedModels = new Set(next.models);
    },
    reportedModels: () => loadedModels,
    hasModel: (model) =>
      loadedModels?.has(model) ?? state.settings.models.some((placed) => placed === model),
  };
  return state;
}
