import type { Clock, HostId, ProcessId } from '@endiveferry/base';
import type { ProcessSettings } from '@endiveferry/settings';

import type { HostStatus } from './buildStatus.js';
import type { DaemonState } from './createLifecycle.js';

/**
 * Options of a daemon. All but the settings serve tests and experiments.
 *
 * @public
 */
export interface DaemonOptions {
  readonly settings: ProcessSettings;
  readonly clock?: Clock;
  readonly seed?: number;
  /** Time for the load balancer to notice that the host is not ready, in milliseconds. */
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
  /** Addresses that the listeners are bound to. */
  readonly addresses: {
    readonly callers: string;
    readonly peers: string;
    readonly operators: string;
  };
  readonly state: () => DaemonState;
  readonly status: () => HostStatus;
  /** Resolves when a configuration is in force and the daemon accepts requests. */
  waitUntilReady(): Promise<void>;
  /** Stops gracefully, without aborting requests in progress. Further calls await the same stop. */
  drain(): Promise<void>;
  /** Stops at once, as in a crash. */
  kill(): Promise<void>;
  /** Reloads the TLS files and, if one is used, the local configuration folder. */
  reload(): Promise<void>;
}
