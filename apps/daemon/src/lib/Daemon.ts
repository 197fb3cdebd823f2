import type { Clock, HostId, ProcessId } from '@endiveferry/base';
import type { ProcessSettings } from '@endiveferry/settings';

import type { HostStatus } from './buildStatus.js';
import type { DaemonState } from './createLifecycle.js';

/**
 * Options of a daemon; all but the settings are for tests and trials.
 *
 * @public
 */
export interface DaemonOptions {
  readonly settings: ProcessSettings;
  readonly clock?: Clock;
  readonly seed?: number;
  /** Time for the balancer to notice that the host is not ready, in milliseconds. */
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
