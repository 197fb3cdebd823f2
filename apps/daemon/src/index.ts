/** The daemon: one a host, all equal. */
export type { HostStatus, PeerStatus, PoolStatus } from './lib/buildStatus.js';
export {
  createDaemon,
  type Daemon,
  type DaemonOptions,
  type DaemonState,
} from './lib/createDaemon.js';
export { runProcess } from './lib/runProcess.js';
