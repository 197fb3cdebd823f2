import type { BackendServerId, Clock, Random } from '@endiveferry/base';
import type { BackendServer } from '@endiveferry/settings';

import { createServerConnections, type ServerConnections } from './createServerConnections.js';
import { createServerHealth, type HealthState, type ServerHealth } from './createServerHealth.js';
import type { LoadReport } from './LoadReport.js';

/** Weight of the newest service time in the running mean latency. */
const LATENCY_GAIN = 0.1;
/** Age after which a load report is ignored. */
const REPORT_VALIDITY_MS = 5_000;
/** Factor by which an overload reduces the concurrency limit. */
const LIMIT_DECREASE_FACTOR = 0.8;

/**
 * Last known state of one backend server.
 *
 * @internal
 */
export interface ServerState {
  readonly id: BackendServerId;
  readonly connections: ServerConnections;
  readonly health: ServerHealth;
  settings: BackendServer;
  /** Whether the server is leaving according to its settings, its own report or the list. */
  readonly isLeaving: () => boolean;
  /** Sets whether the server is leaving; `list` covers the platform's list and other hosts. */
  setLeaving(source: 'list' | 'report', isLeaving: boolean): void;
  readonly running: () => number;
  /** Returns the estimated number of running and queued calls at the server, over all hosts. */
  readonly load: () => number;
  /** Returns the estimated number of calls that the server can run concurrently. */
  readonly capacity: () => number;
  /** Returns the running mean service time, in milliseconds; undefined before the first call. */
  readonly latencyMs: () => number | undefined;
  startCall(): void;
  endCall(): void;
  recordLatency(serviceMs: number): void;
  /** Lowers the concurrency limit: the server rejected a call for lack of free capacity. */
  recordOverload(): void;
  recordReport(report: LoadReport): void;
  /** Returns the models that the server reported; undefined before a report with models. */
  readonly reportedModels: () => ReadonlySet<string> | undefined;
  /** Whether the server has loaded a model, according to its reports or else its settings. */
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
  /** Returns the number of calls that a server of this pool runs concurrently. */
  readonly getServerConcurrency: () => number;
  readonly onHealthChange: (state: HealthState) => void;
}

/**
 * Creates the state of a backend server without any calls yet.
 *
 * @param options - see {@link ServerStateOptions}
 * @returns the state
 * @internal
 */
export function createServerState(options: ServerStateOptions): ServerState {
  const { id, clock, random, getServerConcurrency } = options;
  const connections = createServerConnections(options.settings.address);
  const health = createServerHealth(clock, random, options.onHealthChange);
  const leaving = { list: false, report: false };
  let running = 0;
  let latencyMs: number | undefined;
  // Concurrency limit as a share of the configured concurrency; lowered by overloads.
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
      // The report lags; the calls that this host has started or ended since are known exactly.
      return Math.max(running, report.load + running - report.ownRunning);
    },
    capacity: () =>
      Math.min(Math.max(1, getServerConcurrency() * limitShare), health.maxConcurrency()),
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
      limitShare = Math.min(1, limitShare + 0.1 / getServerConcurrency());
    },
    recordOverload() {
      limitShare = Math.max(1 / getServerConcurrency(), limitShare * LIMIT_DECREASE_FACTOR);
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
