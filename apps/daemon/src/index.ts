/** The daemon: runs once per host; all hosts have the same role. */
export type { HostStatus, PeerStatus, PoolStatus } from './lib/buildStatus.js';
export { createDaemon } from './lib/createDaemon.js';
export type { Daemon, DaemonOptions } from './lib/Daemon.js';
export type { DaemonState } from './lib/createLifecycle.js';
export { runProcess } from './lib/runProcess.js';
export {
  createRelayHost,
  type RelayHost,
  type RelayHostOptions,
} from './lib/relay/createRelayHost.js';
export { runRelayProcess, type RelayProcessOptions } from './lib/relay/runRelayProcess.js';
